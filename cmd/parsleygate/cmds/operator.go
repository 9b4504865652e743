package cmds

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// operatorCommands returns the commands with which operators plan and confirm changes and
// inspect the system.
func operatorCommands() []*cobra.Command {
	return []*cobra.Command{
		newPlan(), newConfirm(), newStatus(), newHistory(), newDiff(),
		newZone(), newTarget(), newStop(),
	}
}

const (
	defaultCallTimeout = 5 * time.Second
)

// defaultControls are the control VMs of the local deployment.
func defaultControls() []string {
	return []string{"127.0.0.1:8600", "127.0.0.1:8610", "127.0.0.1:8620"}
}

// operatorFlags are the flags that all operator commands have.
type operatorFlags struct {
	controls    []string
	operator    string
	callTimeout time.Duration
	keys        identity.Files
}

func (f *operatorFlags) add(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.controls, "control", defaultControls(), "addresses of control VMs as IP:port, tried in order")
	c.Flags().DurationVar(&f.callTimeout, "try", defaultCallTimeout, "timeout of the call to each control VM")
	c.Flags().StringVar(&f.keys.CertFile, "cert", "", "PEM file of your certificate, which must have the organisational unit operator")
	c.Flags().StringVar(&f.keys.KeyFile, "key", "", "PEM file of the key of the certificate")
	c.Flags().StringVar(&f.keys.AuthorityFile, "authority", "", "PEM file of the certificate authority of the deployment; without --cert, --key and --authority, plaintext on loopback")
}

func (f *operatorFlags) addOperator(c *cobra.Command) {
	c.Flags().StringVar(&f.operator, "operator", os.Getenv("USER"), "your name, as shown by history")
}

// client returns an HTTP client, which uses TLS if key files are given.
func (f *operatorFlags) client() (*http.Client, error) {
	dialer := &identity.Dialer{Timeout: f.callTimeout}

	if f.keys != (identity.Files{}) {
		dialer.Identity = &identity.Identity{Files: f.keys, Logger: logs.Discard()}
		if err := dialer.Identity.Load(); err != nil {
			return nil, err
		}
	}

	return &http.Client{Timeout: f.callTimeout, Transport: &http.Transport{DialContext: dialer.Dial}}, nil
}

// callOperator calls the operator service of the control VMs in order until one answers.
// Calling another VM is safe: a plan changes nothing, and a decision is made only once
// under its number.
func callOperator[T any](ctx context.Context, f *operatorFlags, call func(context.Context, wire.Operator) (T, error)) (T, error) {
	return callFirstAnswering(ctx, f, wire.NewOperatorProtobufClient, call)
}

// clientFactory creates the client of a service at a base URL.
type clientFactory[C any] func(base string, client wire.HTTPClient, opts ...twirp.ClientOption) C

// callFirstAnswering calls the control VMs in order until one answers or rejects the call
// with an error that the others would return as well.
func callFirstAnswering[C, T any](ctx context.Context, f *operatorFlags, newClient clientFactory[C], call func(context.Context, C) (T, error)) (T, error) {
	var (
		zero T
		errs []error
	)

	client, err := f.client()
	if err != nil {
		return zero, err
	}

	if len(f.controls) == 0 {
		return zero, eris.New("--control names no address")
	}

	for _, text := range f.controls {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return zero, eris.Wrapf(err, "--control %q; allowed: IP:port", text)
		}

		answer, err := call(ctx, newClient("http://"+address.String(), client))
		if err == nil {
			return answer, nil
		}

		if isPermanent(err) {
			return zero, err
		}

		errs = append(errs, eris.Wrapf(err, "control VM %s", text))
	}

	return zero, eris.Wrap(errors.Join(errs...), "no control VM answered")
}

// isPermanent reports whether err is an error that other control VMs would return as well.
func isPermanent(err error) bool {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) {
		return false
	}

	switch twirpErr.Code() {
	case twirp.InvalidArgument, twirp.NotFound, twirp.PermissionDenied, twirp.Unauthenticated, twirp.FailedPrecondition:
		return true
	default:
		return false
	}
}

// errNotDecided is returned when the control VM did not make the decision.
var errNotDecided = errors.New("nothing was changed by this confirmation")

func printAnswer(c *cobra.Command, number uint64, a *wire.DecisionAnswer) error {
	winner := a.GetWinner()

	switch a.GetState() {
	case wire.DecisionState_DecisionMade:
		c.Printf("decision %d is made by %s: version %d%s\n", number, winner.GetOperator(), a.GetVersion(), repeatedNote(a))
	case wire.DecisionState_DecisionBaseChanged:
		c.Printf("decision %d is refused, since the plan's base changed%s; plan again\n", number, repeatedNote(a))
	case wire.DecisionState_DecisionRefused:
		c.Printf("decision %d is refused%s; plan again with --override to do it all the same\n", number, repeatedNote(a))
	case wire.DecisionState_DecisionConflict:
		c.Printf("number %d belongs to another decision: %s by %s, from %s\n",
			number, winner.GetPlanID(), winner.GetOperator(), winner.GetSource())
	case wire.DecisionState_DecisionNoPlan:
		c.Println("no such plan is kept; plan again. The number is still free")
	case wire.DecisionState_DecisionForgotten:
		c.Printf("the outcome of number %d is no longer kept; use a number above %d\n", number, a.GetFloor())
	default:
		c.Println("unknown answer of the control VM; this command may be older than the control VM")
	}

	for _, detail := range a.GetDetails() {
		c.Printf("  %s\n", detail)
	}

	if a.GetState() != wire.DecisionState_DecisionMade {
		return errNotDecided
	}

	return nil
}

func repeatedNote(a *wire.DecisionAnswer) string {
	if a.GetRepeated() {
		return " (the first answer again)"
	}

	return ""
}

func formatMillis(ms uint64) string {
	return fmt.Sprint((time.Duration(ms) * time.Millisecond).Round(time.Second))
}
