package pooler_test

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/pooler"
)

func TestFunctionsRunConcurrentlyAndWaitReturnsAfterAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var p pooler.Pool
		var done atomic.Int64
		for range 200 {
			p.Go(func() {
				time.Sleep(time.Second)
				done.Add(1)
				p.Go(func() { done.Add(1) })
			})
		}
		started := time.Now()
		time.Sleep(500 * time.Millisecond)
		p.Wait()
		is.Equal(time.Since(started), time.Second) // no function waited for another
		is.Equal(done.Load(), int64(400))
	})
}

// TestGoroutinesAreReused counts the goroutines after functions that ran one after the
// other.
func TestGoroutinesAreReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var p pooler.Pool
		before := runtime.NumGoroutine()
		for range 50 {
			p.Go(func() {})
			synctest.Wait()
		}
		is.True(runtime.NumGoroutine()-before <= 2)
		p.Wait()
	})
}

// BenchmarkDeepCall compares a Pool with a new goroutine per function, for functions
// that make the stack grow.
func BenchmarkDeepCall(b *testing.B) {
	var deep func(n int) int
	deep = func(n int) int {
		var pad [256]byte
		if n == 0 {
			return int(pad[n])
		}
		return deep(n-1) + int(pad[n%len(pad)])
	}
	var group sync.WaitGroup
	var p pooler.Pool
	for name, start := range map[string]func(f func()){
		"pool": p.Go,
		"new":  func(f func()) { group.Go(f) },
	} {
		b.Run(name, func(b *testing.B) {
			done := make(chan struct{})
			for b.Loop() {
				start(func() { deep(40); done <- struct{}{} })
				<-done
			}
		})
	}
	p.Wait()
}
