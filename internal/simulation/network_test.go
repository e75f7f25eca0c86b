package simulation

import (
	"math/rand/v2"
	"testing"
)

// rateTolerance is the relative error of a rate that counts as equal.
const rateTolerance = 0.001

// randomNetwork returns a network of up to five links, with up to twenty transfers over one or two of them.
func randomNetwork(random *rand.Rand) *network {
	n := &network{}
	for range 1 + random.IntN(5) {
		n.addLink("link", 1+float64(random.IntN(1000)))
	}
	for range 1 + random.IntN(20) {
		first, second := random.IntN(len(n.links)), random.IntN(len(n.links))
		via := []*link{n.links[first]}
		if first != second {
			via = append(via, n.links[second])
		}
		n.begin(0, 1e6, func() {}, via...)
	}
	return n
}

// TestAllocateRatesMaxMinFair allocates the rates of random networks. No link may carry more than its rate. Each transfer must
// cross a full link on which no other transfer is faster: to raise its rate, a transfer that is not faster would have to slow
// down.
func TestAllocateRatesMaxMinFair(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		n := randomNetwork(random)
		n.allocateRates()
		used, highest := map[*link]float64{}, map[*link]float64{}
		for _, transfer := range n.transfers {
			for _, l := range transfer.route() {
				used[l] += transfer.rate
				highest[l] = max(highest[l], transfer.rate)
			}
		}
		for l, rate := range used {
			if rate > l.rate*1.0001 {
				t.Fatalf("sum of the rates on a link: got %g, want at most %g", rate, l.rate)
			}
		}
		for _, transfer := range n.transfers {
			limited := false
			for _, l := range transfer.route() {
				full := used[l] > l.rate*(1-rateTolerance)
				fastest := transfer.rate > highest[l]*(1-rateTolerance)
				if full && fastest {
					limited = true
				}
			}
			if !limited {
				t.Fatalf("transfer with a rate of %g: got no full link on which it is the fastest, want one", transfer.rate)
			}
		}
	}
}
