package lockstep

import "math/rand/v2"

// versionShift reserves the low bits of a map version for a random part. The high bits are its
// generation. Two directors that continue from the same reports choose the same generation, and
// ranks are confirmed by the version that they report, so it must identify the map.
const versionShift = 20

// newVersion returns the version of a new map, the given number of generations after version.
func newVersion(version, generations uint64) uint64 {
	return (generation(version)+generations)<<versionShift | rand.Uint64N(1<<versionShift)
}

// generation returns the part of a version by which versions of successive switches increase.
func generation(version uint64) uint64 { return version >> versionShift }
