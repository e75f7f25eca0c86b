package replay

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

var (
	update  = flag.Bool("update", false, "rewrite the golden files with the current decisions")
	dumpDir = flag.String("dump", "", "directory for the lines of the first differing block of each scenario")
	block   = flag.Int("block", -1, "with -dump: write this block of each scenario, even if it does not differ")
)

const minRequests = 100_000 // minimum requests in all scenarios together

// TestReplay runs every scenario and compares the calls made by the core with the golden files, block by block. It also fails
// if an expected kind of event or call did not occur.
func TestReplay(t *testing.T) {
	var mu sync.Mutex
	played, calls := counts{}, counts{}
	t.Run("scenario", func(t *testing.T) {
		for _, s := range scenarios() {
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				r := replayScenario(t, s)
				mu.Lock()
				defer mu.Unlock()
				played.add(r.events)
				calls.add(r.calls)
			})
		}
	})
	if t.Failed() {
		return
	}
	if played["request"] < minRequests {
		t.Errorf("got %d requests in all scenarios, want at least %d", played["request"], minRequests)
	}
	for _, word := range expectedWords() {
		if played[word] == 0 {
			t.Errorf("event or property %q never occurred, want at least one", word)
		}
	}
	for _, kind := range []string{"attempt", "cancel", "reject", "fail", "after", "check"} {
		if calls[kind] == 0 {
			t.Errorf("core made no %q call, want at least one", kind)
		}
	}
}

// expectedWords returns the words for all events and attempt properties that must occur in the scenarios.
func expectedWords() (words []string) {
	for _, e := range results {
		words = append(words, "ending "+e.name, "check "+e.name)
	}
	for _, f := range cacheStatuses {
		words = append(words, "fill "+f.name)
	}
	for _, name := range conditionNames {
		words = append(words, "machine "+name)
	}
	for _, name := range strings.Split("drain,crash,hang,slowness,errors,refusals,losses,replacement,origin,parents,empty list,release,most caches", ",") {
		words = append(words, "fault "+name)
	}
	for _, name := range strings.Split("look,held only,renew,join,until,age,past the caches,by origin,rank 0,rank 1,rank 2,retry,retry after", ",") {
		words = append(words, "order "+name)
	}
	return append(words, "listed ready", "listed draining", "listed gone", "machine started lately", "list complete",
		"list partial", "purge object", "purge group", "told alive", "told silent", "client left", "timer", "director paused",
		"ending after the answer", "ending twice", "unknown request", "answer lost", "check lost")
}

// replayScenario runs one scenario and compares it with its golden file.
func replayScenario(t *testing.T, s scenario) *record {
	t.Helper()
	path := filepath.Join("testdata", strings.ReplaceAll(s.name, " ", "_")+".txt")
	var want []string
	if !*update {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		want = strings.Split(strings.TrimSuffix(string(b), "\n"), "\n")
	}
	different := -1
	r := newRecord(func(number int, line string, lines []byte) {
		first := !*update && different < 0 && (number >= len(want) || want[number] != line)
		if first {
			different = number
			wantLine := "nothing"
			if number < len(want) {
				wantLine = want[number]
			}
			t.Errorf("block %d (requests %d to %d) is the first that differs: got\n%s\nwant\n%s", number, number*blockRequests+1,
				(number+1)*blockRequests, line, wantLine)
		}
		if *dumpDir != "" && (first && *block < 0 || number == *block) {
			dump(t, fmt.Sprintf("%s-%d.txt", strings.ReplaceAll(s.name, " ", "_"), number), lines)
		}
	})
	newSimulation(s, r).run()
	got := append(r.blocks, "calls "+r.calls.text(), "orders "+r.orders().text())
	if *update {
		if err := os.WriteFile(path, []byte(strings.Join(got, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return r
	}
	if different < 0 && strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("all blocks match, but the totals differ: got\n%s\nwant\n%s", strings.Join(got[len(r.blocks):], "\n"),
			strings.Join(want[min(len(r.blocks), len(want)):], "\n"))
	}
	return r
}

// orders returns the counts of attempts by property.
func (r *record) orders() counts {
	c := counts{}
	for word, n := range r.events {
		if strings.HasPrefix(word, "order ") {
			c[word] = n
		}
	}
	return c
}

func dump(t *testing.T, name string, lines []byte) {
	t.Helper()
	path := filepath.Join(*dumpDir, name)
	if err := os.WriteFile(path, lines, 0o644); err != nil {
		t.Error(err)
		return
	}
	t.Logf("wrote %d bytes of lines to %s", len(lines), path)
}
