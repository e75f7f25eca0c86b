package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/quick"
)

// TestMissRatioCurveWithoutSampling compares the distances that the tree computes with those of a plain list. They must be equal
// to the byte, also after compactions, and also if the size of a part changes between reads.
func TestMissRatioCurveWithoutSampling(t *testing.T) {
	for _, sizes := range []struct {
		name string
		of   func(object uint64, random *rand.Rand) float64
	}{
		{name: "one size for each part", of: func(object uint64, _ *rand.Rand) float64 { return float64(1 + object%997) }},
		{name: "a new size at every read", of: func(_ uint64, random *rand.Rand) float64 { return float64(1 + random.IntN(1000)) }},
	} {
		t.Run(sizes.name, func(t *testing.T) {
			check := func(seed uint64) bool {
				random := rand.New(rand.NewPCG(seed, 1))
				curve, plain := NewMissRatioCurve(1), &plainStackDistances{}
				for range 4000 {
					object := uint64(random.IntN(1 + random.IntN(900)))
					bytes := sizes.of(object, random)
					got, _ := curve.Read(object, 0, bytes)
					if want := plain.read(object, 0, bytes); got != want && math.Abs(got-want) > 1e-6 {
						t.Logf("seed %d: got a distance of %g, want %g", seed, got, want)
						return false
					}
				}
				return true
			}
			if err := quick.Check(check, quickConfig(15)); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestMissRatioCurveWithSampling tracks a sample of a tenth of the parts. For every memory size, the estimated share of misses
// must be within four percentage points of the exact share.
func TestMissRatioCurveWithSampling(t *testing.T) {
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 1))
		full, sampled := NewMissRatioCurve(1), NewMissRatioCurve(0.1)
		for range 200000 {
			object := uint64(20000 * math.Pow(random.Float64(), 2.5))
			full.Read(object, 0, 1000)
			sampled.Read(object, 0, 1000)
		}
		for _, memory := range []float64{1e5, 1e6, 4e6, 1e7, 1.5e7} {
			_, want := full.Misses(memory)
			_, got := sampled.Misses(memory)
			if math.Abs(got-want) > 0.04 {
				t.Errorf("seed %d, %g bytes: got a share of misses of %.3f, want about %.3f", seed, memory, got, want)
			}
		}
	}
}

// BenchmarkMissRatioCurve measures one read by the tree, by the tree with sampling, and by a plain list.
func BenchmarkMissRatioCurve(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	objects := make([]uint64, 1<<16)
	for i := range objects {
		objects[i] = uint64(20000 * math.Pow(random.Float64(), 2.5))
	}
	for name, share := range map[string]float64{"tree": 1, "tenth": 0.1} {
		b.Run(name, func(b *testing.B) {
			curve := NewMissRatioCurve(share)
			for i := range b.N {
				curve.Read(objects[i&(1<<16-1)], 0, 1000)
			}
		})
	}
	b.Run("plain", func(b *testing.B) {
		curve := &plainStackDistances{}
		for i := range b.N {
			curve.read(objects[i&(1<<16-1)], 0, 1000)
		}
	})
}
