package reachwatch

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/reach"
	"shallotreel.example/reel/storepos"
	"shallotreel.example/shallotreel/connpool"
	"shallotreel.example/shallotreel/intake"
)

// prober is a Prober whose targets accept connections unless the path is cut.
type prober struct {
	cut    atomic.Bool
	ended  netip.AddrPort // target that accepts no connection
	probes atomic.Int64
}

func (prober *prober) Accepts(address netip.AddrPort) bool {
	prober.probes.Add(1)
	if prober.cut.Load() {
		time.Sleep(100 * time.Millisecond)
		return false
	}
	time.Sleep(time.Millisecond)
	return address != prober.ended
}

// fixed is a Catalogue whose view never changes.
type fixed struct{ view *catalogue.View }

func (fixed fixed) View() *catalogue.View { return fixed.view }

// run runs the function with a watch of the given number of targets, in virtual time.
func run(t *testing.T, targets int, test func(t *testing.T, watch *Watch, prober *prober)) {
	t.Helper()
	runObserved(t, targets, func(reach.Change) {}, test)
}

// runObserved is like run; onChange is called when the path is lost or back.
func runObserved(t *testing.T, targets int, onChange func(reach.Change), test func(t *testing.T, watch *Watch, prober *prober)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		view := catalogue.New()
		var services []catalogue.Service
		for number := range targets {
			name := fmt.Sprint("service-", number)
			services = append(services, catalogue.Service{Name: name})
			view.Register(catalogue.Target{ID: fmt.Sprint("in-", number), Service: name, Address: address(number)})
		}
		view.Configure(catalogue.NewConfiguration(1, nil, services, catalogue.Limits{}))
		log := logrus.New()
		log.SetOutput(io.Discard)
		prober := &prober{}
		watch := New(fixed{view.View()}, prober, onChange, log, tally.NoopScope)
		done := make(chan struct{})
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(TickPeriod):
					watch.Tick(time.Now())
				}
			}
		}()
		test(t, watch, prober)
		close(done)
		time.Sleep(time.Second) // the probes in progress end
	})
}

func address(target int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(target)}), 80)
}

func TestLost(t *testing.T) {
	run(t, 4, func(t *testing.T, watch *Watch, prober *prober) {
		prober.cut.Store(true)
		watch.Sent(time.Now(), 1, 80*time.Millisecond)
		<-watch.Lost()
		if !watch.IsLost() || !watch.InDoubt(time.Now()) {
			t.Error("the path is not lost although its channel is closed")
		}
		prober.cut.Store(false)
		time.Sleep(time.Second)
		if isClosed(watch.Lost()) {
			t.Error("the channel of the lost path is still closed")
		}
		if watch.IsLost() {
			t.Error("the path is still lost")
		}
	})
}

// TestSlowAnnouncements guards against a loss whose announcement takes so long that the path is back, and perhaps lost again, before it ends. Others
// would hear of the changes in another order, and the channel of the next loss would be closed in place of the own one.
func TestSlowAnnouncements(t *testing.T) {
	const losses = 3
	var (
		mutex   sync.Mutex
		changes []bool
	)
	slow := func(change reach.Change) {
		if change.Lost {
			time.Sleep(2 * time.Second)
		}
		mutex.Lock()
		defer mutex.Unlock()
		changes = append(changes, change.Lost)
	}
	runObserved(t, 4, slow, func(t *testing.T, watch *Watch, prober *prober) {
		var ended []<-chan struct{}
		for loss := range losses {
			prober.cut.Store(true)
			ended = append(ended, watch.Lost())
			watch.Sent(time.Now(), uint64(loss), 80*time.Millisecond)
			waitFor(watch.IsLost)
			prober.cut.Store(false)
			waitFor(func() bool { return !watch.IsLost() })
		}
		next := watch.Lost()
		time.Sleep(time.Minute)
		for loss, channel := range ended {
			if !isClosed(channel) {
				t.Errorf("those who wait for loss %d are not told", loss+1)
			}
		}
		if isClosed(next) {
			t.Error("a loss is told that has not come")
		}
		mutex.Lock()
		defer mutex.Unlock()
		if want := slices.Repeat([]bool{true, false}, losses); !slices.Equal(changes, want) {
			t.Errorf("the path is announced as lost: %v, want %v", changes, want)
		}
	})
}

func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(TickPeriod)
	}
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// TestOwnShortage guards against calls that fail for want of memory or connections in this process, and pass for a lost path. Probes fail too, so that
// the path is lost as soon as it is in doubt.
func TestOwnShortage(t *testing.T) {
	for name, ended := range map[string]connpool.Result{
		"no connection": {Err: connpool.ErrTooManyConnections},
		"no memory":     {Sent: true, Err: errors.Wrap(intake.ErrExhausted, "read response body")},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 4, func(t *testing.T, watch *Watch, prober *prober) {
				prober.cut.Store(true)
				for target := range 4 {
					watch.Sent(time.Now(), uint64(target), 80*time.Millisecond)
					watch.Ended(time.Now(), uint64(target), address(target), ended)
				}
				time.Sleep(time.Second)
				if watch.IsLost() {
					t.Error("the path is lost")
				}
			})
		})
	}
}

func TestVerify(t *testing.T) {
	run(t, 4, func(t *testing.T, watch *Watch, prober *prober) {
		failedAt := time.Now()
		if watch.Verify(failedAt) {
			t.Error("the path is lost although targets accept connections")
		}
		before := prober.probes.Load()
		if watch.Verify(failedAt) || prober.probes.Load() != before {
			t.Error("another request that failed at the same time probes targets again")
		}
		time.Sleep(time.Millisecond)
		watch.Ended(time.Now(), 1, address(1), connpool.Result{Response: &http.Response{}})
		prober.cut.Store(true)
		if !watch.Verify(time.Now()) || !watch.IsLost() {
			t.Error("the path is not lost although no target accepts connections")
		}
	})
}

// TestConfirmRefusal guards against a lost path that looks as if targets had crashed.
func TestConfirmRefusal(t *testing.T) {
	t.Run("others accept connections", func(t *testing.T) {
		run(t, 4, func(t *testing.T, watch *Watch, prober *prober) {
			prober.ended = address(0)
			if !watch.ConfirmRefusal(time.Now(), address(0)) {
				t.Error("the refusal is not confirmed")
			}
		})
	})
	t.Run("it accepts one again", func(t *testing.T) {
		run(t, 4, func(t *testing.T, watch *Watch, _ *prober) {
			if watch.ConfirmRefusal(time.Now(), address(0)) {
				t.Error("the refusal is confirmed")
			}
		})
	})
	t.Run("no other accepts one", func(t *testing.T) {
		run(t, 4, func(t *testing.T, watch *Watch, prober *prober) {
			prober.cut.Store(true)
			if watch.ConfirmRefusal(time.Now(), address(0)) {
				t.Error("the refusal is confirmed")
			}
		})
	})
	t.Run("there is no other", func(t *testing.T) {
		run(t, 1, func(t *testing.T, watch *Watch, prober *prober) {
			prober.cut.Store(true)
			if !watch.ConfirmRefusal(time.Now(), address(0)) {
				t.Error("the refusal is not confirmed")
			}
		})
	})
}

// TestEvacuatedTargets guards against connections to evacuated targets, which also must not look like ended ones or a lost path.
func TestEvacuatedTargets(t *testing.T) {
	run(t, 3, func(t *testing.T, watch *Watch, prober *prober) {
		view := catalogue.New()
		view.Register(catalogue.Target{ID: "in-0", Service: "service-0", DataCentre: "a", Address: address(0)})
		view.Configure(catalogue.NewConfiguration(1, nil, []catalogue.Service{{Name: "service-0"}}, catalogue.Limits{}))
		view.Evacuate(time.Now(), "a", storepos.Position{Era: 1, Revision: 1})
		watch.mutex.Lock()
		watch.catalogue = fixed{view.View()}
		watch.mutex.Unlock()
		prober.ended = address(0)
		if targets := watch.randomTargets([]netip.AddrPort{address(0)}, 3); len(targets) != 0 {
			t.Errorf("%v would be probed", targets)
		}
		if watch.refuses(address(0)) || watch.ConfirmRefusal(time.Now(), address(0)) {
			t.Error("the evacuated target seems to have ended")
		}
		if accepted, failed := watch.connect([]netip.AddrPort{address(0)}); accepted+failed > 0 {
			t.Errorf("%d accepted, %d failed", accepted, failed)
		}
	})
}
