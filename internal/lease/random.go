package lease

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// smallInstallation is the highest number of instances for which random election delays within one lease are far enough apart.
const smallInstallation = 5

// randomPart returns a random duration from 0 to below span. It is determined by the seed, the name of the instance and the number
// of random numbers drawn before.
func (n *Instance) randomPart(span time.Duration) time.Duration {
	n.draws++
	return time.Duration(float64(span) * fraction(n.config.Seed, n.config.Name, n.draws))
}

// electionDelay returns a random time for which an instance waits before it campaigns. Above smallInstallation the span grows in
// proportion to the number of instances. Otherwise many instances would become candidates within the delay of a message, in each
// attempt, and none would get a majority.
func (n *Instance) electionDelay(span time.Duration) time.Duration {
	instances := max(smallInstallation, len(n.config.Members))
	return n.randomPart(span * time.Duration(instances) / smallInstallation)
}

// fraction returns a number from 0 to below 1 that is determined by its arguments.
func fraction(seed uint64, name string, count uint64) float64 {
	const mantissaBits = 53 // of a float64
	return float64(hash(seed, name, count)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// hash returns a number that is determined by its arguments. It is FNV-1a with a finalizer, as plain FNV-1a mixes the last bytes
// poorly.
func hash(seed uint64, name string, count uint64) uint64 {
	const goldenRatio = 0x9e3779b97f4a7c15 // odd multiplier of Fibonacci hashing
	sum := fnv.New64a()
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:], seed)
	binary.LittleEndian.PutUint64(numbers[8:], count)
	sum.Write(numbers[:])
	sum.Write([]byte(name))
	value := sum.Sum64()
	value ^= value >> 32
	value *= goldenRatio
	return value ^ value>>29
}
