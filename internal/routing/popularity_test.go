package routing

import (
	"math"
	"math/rand/v2"
	"sort"
	"testing"
)

// Random draws of objects by popularity out of billions, without storing a table of all objects.

// popularity draws ranks from 1 to maxRank, each rank r with a probability proportional to r^-skew. The first ranks are drawn
// exactly, and the rest by the integral of the distribution.
type popularity struct {
	skew, maxRank float64
	head          []float64 // cumulative weights of the first ranks
	sum           float64
}

// newPopularity returns a distribution whose first ranks, exact of them, are drawn exactly.
func newPopularity(skew, maxRank float64, exact int) *popularity {
	dist := &popularity{skew: skew, maxRank: maxRank}
	sum := 0.0
	for r := 1; r <= exact; r++ {
		sum += math.Pow(float64(r), -skew)
		dist.head = append(dist.head, sum)
	}
	dist.sum = sum + dist.tailWeight(maxRank+0.5)
	return dist
}

// tailWeight returns the weight of the ranks after the exact ones, up to x.
func (dist *popularity) tailWeight(x float64) float64 {
	from := float64(len(dist.head)) + 0.5
	if dist.skew == 1 {
		return math.Log(x / from)
	}
	return (math.Pow(x, 1-dist.skew) - math.Pow(from, 1-dist.skew)) / (1 - dist.skew)
}

// draw returns the rank for a random number u with 0 <= u < 1.
func (dist *popularity) draw(u float64) uint64 {
	w := u * dist.sum
	if last := dist.head[len(dist.head)-1]; w >= last {
		from := float64(len(dist.head)) + 0.5
		x := from * math.Exp(w-last)
		if dist.skew != 1 {
			x = math.Pow((w-last)*(1-dist.skew)+math.Pow(from, 1-dist.skew), 1/(1-dist.skew))
		}
		return uint64(min(dist.maxRank, max(float64(len(dist.head)+1), math.Round(x))))
	}
	return uint64(sort.Search(len(dist.head), func(i int) bool { return dist.head[i] > w })) + 1
}

// topShare returns the share of draws that the most popular rank receives.
func (dist *popularity) topShare() float64 { return dist.head[0] / dist.sum }

// TestPopularityDistribution sums the distribution over 200,000 ranks in ten groups. The number of draws in each group must
// match it within random variation.
func TestPopularityDistribution(t *testing.T) {
	const maxRank, draws = 200_000, 400_000
	for _, skew := range []float64{0.6, 0.8, 1} {
		dist := newPopularity(skew, maxRank, 1000)
		rng := rand.New(rand.NewPCG(5, uint64(skew*10)))
		group := func(r uint64) int { return int(10 * math.Log(float64(r)) / math.Log(maxRank+1)) }
		var want, got [10]float64
		sum := 0.0
		for r := uint64(1); r <= maxRank; r++ {
			w := math.Pow(float64(r), -skew)
			want[group(r)] += w
			sum += w
		}
		for range draws {
			got[group(dist.draw(rng.Float64()))]++
		}
		for i := range want {
			if e := draws * want[i] / sum; math.Abs(got[i]-e) > 4*math.Sqrt(e)+1 {
				t.Errorf("skew %g, group %d: got %.0f draws, want %.0f", skew, i, got[i], e)
			}
		}
		if e := 1 / sum; math.Abs(dist.topShare()-e) > 1e-4*e {
			t.Errorf("skew %g: share of the first rank: got %.6f, want %.6f", skew, dist.topShare(), e)
		}
	}
}
