package config

import (
	"fmt"
	"strings"
	"testing"
)

// benchmarkParse measures parsing completeJSON with additional events.
func benchmarkParse(b *testing.B, entries []string) {
	known := fmt.Sprintf(`"known":{"pos":%d,"entries":[%s,`, len(entries)+1, strings.Join(entries, ","))
	text := strings.Replace(completeJSON, `"known":{"pos":1,"entries":[`, known, 1)
	b.ReportAllocs()
	for b.Loop() {
		if config, err := Parse([]byte(text), "", ""); err != nil || len(config.Known) != len(entries)+1 {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(text)), "B/msg")
}

// endpointFormat is the format of an endpoint in a snapshot, for its id and the last two numbers of its address.
const endpointFormat = `{"host":"s-%08x","dial":"10.1.%d.%d:8443","site":"west","class":"box","block":2,"health":"SERVING",` +
	`"share":4.5,"born_ms":5}`

// BenchmarkScaleConfigEvents parses configurations with different numbers of events, which are alternately changes of one endpoint and
// purges.
func BenchmarkScaleConfigEvents(b *testing.B) {
	for _, size := range []int{100, 500, 1000, 2000, 5000} {
		b.Run(fmt.Sprintf("events=%d", size), func(b *testing.B) {
			var entries []string
			for i := range size {
				entry := fmt.Sprintf(`{"pos":%d,"expire":{"name":"%016x","stamp":1764576000123}}`, i+1, i+1)
				if i%2 == 0 {
					entry = fmt.Sprintf(`{"pos":%d,"hosts":{"seq":%[1]d,"whole":false,"hosts":[`+endpointFormat+`]}}`, i+1, i, i>>8&255, i&255)
				}
				entries = append(entries, entry)
			}
			benchmarkParse(b, entries)
		})
	}
}

// BenchmarkScaleConfigMachines parses configurations with a snapshot of different numbers of endpoints.
func BenchmarkScaleConfigMachines(b *testing.B) {
	for _, size := range []int{20, 70, 140, 280} {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			var hosts []string
			for i := range size {
				hosts = append(hosts, fmt.Sprintf(endpointFormat, i, i>>8, i&255))
			}
			benchmarkParse(b, []string{`{"pos":1,"hosts":{"seq":1,"whole":true,"hosts":[` + strings.Join(hosts, ",") + `]}}`})
		})
	}
}
