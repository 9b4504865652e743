package targetclient_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/targetclient"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// readingTarget accepts one connection, which it reads as serve says. It counts the bytes that it has read.
type readingTarget struct {
	targetclient.Target

	ended chan int
}

func newReadingTarget(t *testing.T, serve func(c net.Conn, read func() int)) *readingTarget {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	f := &readingTarget{Target: targetclient.Target{Address: netip.MustParseAddrPort(l.Addr().String()), ID: "t", StartTime: 1}, ended: make(chan int, 1)}

	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}

		n := 0

		serve(c, func() int {
			got, _ := c.Read(make([]byte, 1<<10))
			n += got

			return got
		})

		// What the kernel has accepted can be read after the request was given up.
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		for b := make([]byte, 64<<10); ; {
			got, err := c.Read(b)
			n += got

			if err != nil {
				break
			}
		}

		_ = c.Close()
		f.ended <- n
	}()

	return f
}

// Guards against a request of which a target has bytes and that counts as not sent, so that it may be repeated and its
// repetition is free.
func TestRequestThatATargetMayReadIsNeverUnsent(t *testing.T) {
	t.Parallel()

	pause := func() { time.Sleep(50 * time.Millisecond) }

	for _, c := range []struct {
		name  string
		serve func(c net.Conn, read func() int)
		// prepare changes the request before it is sent. Its caller leaves by cancel.
		prepare func(r *targetclient.Request, cancel context.CancelFunc)
		// answered is set if a byte of an answer arrives.
		answered bool
	}{
		{name: "reset before it is read", serve: func(c net.Conn, _ func() int) {
			pause()
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}},
		{name: "closed before it is read", serve: func(c net.Conn, _ func() int) { pause(); _ = c.Close() }},
		{name: "reset after it was read", serve: func(c net.Conn, read func() int) {
			read()
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}},
		{name: "closed after a part of it was read", prepare: func(r *targetclient.Request, _ context.CancelFunc) { r.Body = make([]byte, 8<<20) }, serve: func(c net.Conn, read func() int) {
			read()
			_ = c.Close()
		}},
		{name: "the deadline passes while the target stands still", prepare: func(r *targetclient.Request, _ context.CancelFunc) {
			r.Deadline = time.Now().Add(100 * time.Millisecond)
		}, serve: func(net.Conn, func() int) { time.Sleep(300 * time.Millisecond) }},
		{name: "the caller leaves while the target stands still", prepare: func(_ *targetclient.Request, cancel context.CancelFunc) {
			time.AfterFunc(100*time.Millisecond, cancel)
		}, serve: func(net.Conn, func() int) { time.Sleep(300 * time.Millisecond) }},
		{name: "cut off in the answer's head", answered: true, serve: func(c net.Conn, read func() int) {
			read()
			_, _ = c.Write([]byte("HTTP/1.1 200"))
			_ = c.Close()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			f := newReadingTarget(t, c.serve)

			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()

			r := request("r1")
			if c.prepare != nil {
				c.prepare(r, cancel)
			}

			_, err := newClient().Open(ctx, f.Target, r) //nolint:bodyclose // there is no answer
			require.Error(t, err)
			require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "%v", err)
			require.Equal(t, !c.answered, errors.Is(err, targetclient.ErrNoAnswer), "%v", err)
			<-f.ended
		})
	}
}

// Guards against a request that counts as sent although its connection was never opened, so that a retry is charged for
// nothing, and against one that a target reads all the same.
func TestRequestWithoutAConnectionIsUnsent(t *testing.T) {
	t.Parallel()

	refused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	address := netip.MustParseAddrPort(refused.Addr().String())
	require.NoError(t, refused.Close())

	_, err = newClient().Open(t.Context(), targetclient.Target{Address: address, ID: "t"}, request("r1")) //nolint:bodyclose // there is no answer
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.NotErrorIs(t, err, targetclient.ErrNoAnswer)

	var accepted sync.WaitGroup

	f := newReadingTarget(t, func(net.Conn, func() int) {})

	accepted.Go(func() {
		c, err := net.Dial("tcp", f.Address.String())
		if err == nil {
			_ = c.Close()
		}
	})
	accepted.Wait()

	ctx, cancel := context.WithCancel(t.Context())
	cancel()

	_, err = newClient().Open(ctx, f.Target, request("r1")) //nolint:bodyclose // there is no answer
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Zero(t, <-f.ended)
}
