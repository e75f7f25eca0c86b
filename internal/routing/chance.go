package routing

// Pseudorandom numbers: hashes that are equal at all directors, and draws that are specific to one director. Both depend only
// on the settings and the calls, so the same calls produce the same decisions.

import (
	"encoding/binary"
	"hash/fnv"
)

// mixMultiplier spreads the bits of a hash (2^64 divided by the golden ratio).
const mixMultiplier = 0x9e3779b97f4a7c15

// hash returns a hash of the words, distributed evenly over 64 bits (FNV-1a followed by a mixing step). It is the same at all
// directors.
func hash(words ...uint64) uint64 {
	state := fnv.New64a()
	var bytes [8]byte
	for _, word := range words {
		binary.LittleEndian.PutUint64(bytes[:], word)
		state.Write(bytes[:])
	}
	mixed := state.Sum64() // the last words affect the high bits less than the low bits, hence the mixing
	mixed ^= mixed >> 32
	mixed *= mixMultiplier
	return mixed ^ mixed>>29
}

// Hash returns the hash that all directors share. It is for other packages that must make the same draws as the directors.
func Hash(words ...uint64) uint64 { return hash(words...) }

// randomDraws generates the random draws of one director.
type randomDraws struct {
	identity  uint64 // seed of the draws and of hashes that differ between directors
	drawCount uint64 // number of draws so far
}

// chance returns the next draw of this director as 64 random bits. The id of the request or endpoint that the draw is for is
// part of the seed.
func (draws *randomDraws) chance(id uint32) uint64 {
	draws.drawCount++
	return hash(draws.identity, uint64(id), draws.drawCount)
}

// unitInterval maps a hash to an evenly distributed number greater than 0 and less than 1.
func unitInterval(hashed uint64) float64 { return (float64(hashed>>12) + 0.5) / (1 << 52) }
