package clusterconfig

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
	"testing"
	"time"
)

// processMemory returns the memory that the runtime has obtained from the operating system and not released, in bytes.
func processMemory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// memorySampleInterval is the time between two samples of a memorySampler.
const memorySampleInterval = 100 * time.Microsecond

// memorySampler samples the memory of the process in a goroutine, from startMemorySampler until stop.
type memorySampler struct {
	before  uint64 // bytes at the start
	highest atomic.Uint64
	ending  chan struct{} // closed by stop
	done    chan struct{} // closed when the goroutine has returned
}

// startMemorySampler starts a sampler. The caller must call stop.
func startMemorySampler() *memorySampler {
	s := &memorySampler{before: processMemory(), ending: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for {
			select {
			case <-s.ending:
				return
			case <-time.After(memorySampleInterval):
				s.sample()
			}
		}
	}()
	return s
}

// sample takes one sample.
func (s *memorySampler) sample() { s.highest.Store(max(s.highest.Load(), processMemory())) }

// stop takes a last sample and returns the largest number of bytes by which the memory exceeded that at the start.
func (s *memorySampler) stop() (peak uint64) {
	close(s.ending)
	<-s.done
	s.sample()
	highest := s.highest.Load()
	return highest - min(s.before, highest)
}

// grown returns the number of bytes by which the memory exceeds that at the start, after a garbage collection.
func (s *memorySampler) grown() uint64 {
	debug.FreeOSMemory()
	return processMemory() - min(s.before, processMemory())
}

// BenchmarkParse parses files with nine control machines by the number of directors. peak-MB is the largest growth of the process's
// memory during a call, over all calls. kept-MB is the largest growth that remains after a call, which is the size of the parsed
// file.
func BenchmarkParse(b *testing.B) {
	for _, directors := range []int{20, 145, 290, 580} {
		b.Run(fmt.Sprint(directors), func(b *testing.B) {
			raw := []byte(fileOfDirectors(directors))
			var peak, retained uint64
			b.SetBytes(int64(len(raw)))
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				debug.FreeOSMemory()
				sampler := startMemorySampler()
				b.StartTimer()
				f, err := Parse("control.yaml", raw, "c0")
				b.StopTimer()
				peak = max(peak, sampler.stop())
				if err != nil || len(f.Directors) != directors {
					b.Fatalf("%v", err)
				}
				retained = max(retained, sampler.grown())
				runtime.KeepAlive(f)
				b.StartTimer()
			}
			b.ReportMetric(float64(peak)/1e6, "peak-MB")
			b.ReportMetric(float64(retained)/1e6, "kept-MB")
		})
	}
}
