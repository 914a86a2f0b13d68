package overload

import (
	"math"
	"time"
)

// No try is marked as a repeat, but each tells how long its caller still waits. A caller that waits for a request so long
// over all tries tells less with each: what is missing to what it tells at first is the age of the request. Callers wait
// for a handful of times that are configured somewhere, so that first tries come with the same few waits again and
// again, and later ones with any: a wait that is seen often is that of a first try, and what falls short of the next such
// is at least that old. Where waits are all alike, or all different, nothing is learned, as today.
const (
	waitStep     = 10 * time.Millisecond // width of a bucket of waits; a first try may be off by one
	waitPart     = 0.04                  // of the tries of a class, that makes a wait one of first tries
	waitSeen     = 6.0                   // and tries that do so at least
	waitFew      = 25.0                  // tries of a class before anything is said
	waitFades    = 10 * time.Second      // after which what was counted counts half
	waitLeast    = 0.25                  // a bucket that counts less is dropped
	mostWaits    = 1024                  // buckets of a class
	mostPatience = 64                    // classes
)

// waits counts the tries of a class by how long their callers wait.
type waits struct {
	count map[int]float64
	all   float64
	fade  time.Duration // when to halve next
	next  float64       // count at which to look for first tries next
	usual []int         // buckets of first tries, in order
}

// AgeEstimator knows how long callers wait for requests, by class. It belongs to one goroutine.
type AgeEstimator struct{ classes map[string]*waits }

// NewAgeEstimator knows nothing.
func NewAgeEstimator() *AgeEstimator { return &AgeEstimator{map[string]*waits{}} }

// Age takes in how long a caller still waits, and returns how long ago it sent the first try of that request, at least;
// 0 for a first try, and where nothing shows.
func (p *AgeEstimator) Age(now time.Duration, class string, wait time.Duration) time.Duration {
	w := p.classes[class]
	if w == nil {
		if len(p.classes) >= mostPatience {
			return 0
		}
		w = &waits{count: map[int]float64{}, fade: now + waitFades, next: waitFew}
		p.classes[class] = w
	}
	b := int(wait / waitStep)
	if _, ok := w.count[b]; ok || len(w.count) < mostWaits {
		w.count[b]++
		w.all++
	}
	if now >= w.fade || w.all >= w.next {
		w.next = 2 * w.all
		w.turn(now)
	}
	for _, u := range w.usual {
		if b <= u+1 {
			if b >= u-1 {
				return 0
			}
			return time.Duration(u)*waitStep - wait
		}
	}
	return 0
}

// turn finds which waits are those of first tries, and has older ones count less.
func (w *waits) turn(now time.Duration) {
	w.usual = w.usual[:0]
	most := 0
	for b := range w.count {
		most = max(most, b)
	}
	for b := 0; b <= most && w.all >= waitFew; b++ {
		if w.count[b] > 0 && w.count[b-1]+w.count[b]+w.count[b+1] >= max(waitPart*w.all, waitSeen) && w.count[b] >= max(w.count[b-1], w.count[b+1]) {
			w.usual = append(w.usual, b)
		}
	}
	if now < w.fade {
		return
	}
	w.fade, w.all, w.next = now+waitFades, 0, math.Inf(1)
	for b, n := range w.count {
		if n /= 2; n < waitLeast {
			delete(w.count, b)
			continue
		}
		w.count[b] = n
		w.all += n
	}
}
