package journal

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A file consists of a file header and frames. The file header holds the kind of the file
// and the creation ID of its owner. A frame holds one payload:
//
//	magic u32, length u32, sequence u64, xxhash64 of these   (frame header)
//	payload
//	xxhash64 of sequence and payload, end mark               (frame trailer)
//
// At most the last frame is unsynced: the next frame is only written after it is synced.
const (
	frameMagic       uint32 = 0x50474a31
	frameHeaderSize  int    = 24
	frameTrailerSize int    = 9
	fileHeaderSize   int    = 24
	// endMark is not zero. A frame whose last block was never written can therefore be
	// distinguished from one that was written and then corrupted.
	endMark byte = 0xe5
)

// fileKind is the kind of content of a file.
type fileKind uint64

const (
	kindIdentity fileKind = 0x5047_4944_0000_0001
	kindLog      fileKind = 0x5047_4c4f_0000_0001
	kindSnapshot fileKind = 0x5047_534e_0000_0001
)

func fileHeader(k fileKind, creationID uint64) []byte {
	b := binary.LittleEndian.AppendUint64(nil, uint64(k))
	b = binary.LittleEndian.AppendUint64(b, creationID)

	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// parseFileHeader returns the creation ID in the header of a file.
func parseFileHeader(name string, k fileKind, b []byte) (uint64, error) {
	if len(b) < fileHeaderSize || binary.LittleEndian.Uint64(b[16:]) != xxhash.Sum64(b[:16]) {
		return 0, &CorruptionError{File: name, Detail: "invalid file header"}
	}

	if binary.LittleEndian.Uint64(b) != uint64(k) {
		return 0, &CorruptionError{File: name, Detail: "unexpected kind of file"}
	}

	return binary.LittleEndian.Uint64(b[8:]), nil
}

func appendFrame(b []byte, seq uint64, payload []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b[start:]))
	b = append(b, payload...)
	b = binary.LittleEndian.AppendUint64(b, payloadChecksum(seq, payload))

	return append(b, endMark)
}

func payloadChecksum(seq uint64, payload []byte) uint64 {
	d := xxhash.NewWithSeed(seq)
	_, _ = d.Write(payload)

	return d.Sum64()
}

// parseFrames returns the payloads in b, which begins at the given offset of the file
// name. An incomplete last frame is only ignored if its sync can't have returned: the file
// ends within the frame, or its last bytes were never written. Any other fault may hide
// entries that this replica has acknowledged, and gives an error.
func parseFrames(name string, offset int, b []byte) ([][]byte, error) {
	var out [][]byte

	for seq := uint64(1); len(b) > 0; seq++ {
		corruption := &CorruptionError{File: name, Offset: offset, Detail: "invalid frame"}

		if !isFrameHeader(b) {
			if len(bytes.TrimRight(b, "\x00")) < frameHeaderSize {
				return out, nil
			}

			return nil, corruption
		}

		n := int(binary.LittleEndian.Uint32(b[4:]))
		end := frameHeaderSize + n + frameTrailerSize

		if binary.LittleEndian.Uint64(b[8:]) != seq {
			return nil, corruption
		}

		if end > len(b) {
			return out, nil
		}

		payload := b[frameHeaderSize : frameHeaderSize+n]

		if b[end-1] != endMark || binary.LittleEndian.Uint64(b[frameHeaderSize+n:]) != payloadChecksum(seq, payload) {
			if end == len(b) && b[end-1] == 0 {
				return out, nil
			}

			return nil, corruption
		}

		out = append(out, payload)
		b = b[end:]
		offset += end
	}

	return out, nil
}

func isFrameHeader(b []byte) bool {
	return len(b) >= frameHeaderSize &&
		binary.LittleEndian.Uint32(b) == frameMagic &&
		binary.LittleEndian.Uint64(b[16:]) == xxhash.Sum64(b[:16])
}
