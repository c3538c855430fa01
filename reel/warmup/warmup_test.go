package warmup

import (
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
)

const warmUp = 10 * time.Second

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// returns is a view in which data centre a returned to service at a moment.
type returns struct{ at time.Time }

func (returns returns) ReturnedAt(dataCentre string) (time.Time, bool) {
	return returns.at, dataCentre == "a" && !returns.at.IsZero()
}

// session is what happens to one target, in order.
type session struct {
	tracker *Tracker
	target  catalogue.Target
}

// look makes the tracker consider the target, which it does for each request.
func (session *session) look(seconds float64) Load {
	return session.tracker.Load(at(seconds), session.target, catalogue.Service{Name: "menus", WarmUp: warmUp, ColdRate: 10})
}

func (session *session) answer(sentAt, seconds float64, left time.Duration) {
	session.tracker.Report(at(seconds), session.target, at(sentAt), left)
}

// TestEvidence checks by what a target is cold at second 5. It guards against the usual load for a process that is cold, and
// against a warm target that is starved because nothing ends the belief that it is cold.
func TestEvidence(t *testing.T) {
	for _, test := range []struct {
		name   string
		happen func(*session)
		want   bool
	}{
		{"nothing", func(*session) {}, false},
		{"registered as cold", func(session *session) { session.target.ColdLeft = warmUp }, true},
		{"the registered time is over", func(session *session) { session.target.ColdLeft = 4 * time.Second }, false},
		{"an answer says that it is cold", func(session *session) { session.answer(1, 2, warmUp) }, true},
		{"an answer ends what the registration says", func(session *session) {
			session.target.ColdLeft = warmUp
			session.look(0)
			session.answer(1, 2, 0)
		}, false},
		{"an answer without a report does not end what the registration says", func(session *session) {
			session.target.ColdLeft = warmUp
			session.look(0)
			session.tracker.ReportNothing(session.target, at(1))
		}, true},
		{"a late answer does not end a newer report", func(session *session) {
			session.answer(1, 2, warmUp)
			session.answer(1, 3, 0)
		}, true},
		{"its data centre returned", func(session *session) { session.tracker.SetView(returns{at(1)}) }, true},
		{"it was asked since the return", func(session *session) {
			session.tracker.SetView(returns{at(1)})
			session.look(1)
			session.tracker.ReportNothing(session.target, at(2))
		}, false},
		{"it was asked before the return and answered after it", func(session *session) {
			session.tracker.SetView(returns{at(1)})
			session.look(1)
			session.tracker.ReportNothing(session.target, at(0.5))
		}, true},
		{"it registered since the return", func(session *session) {
			session.tracker.SetView(returns{at(1)})
			session.look(1)
			session.target.ColdAt = at(2)
		}, false},
		{"its data centre returned long ago", func(session *session) { session.tracker.SetView(returns{at(-20)}) }, false},
		{"another data centre returned", func(session *session) {
			session.tracker.SetView(returns{at(1)})
			session.target.DataCentre = "b"
		}, false},
		{"a connection broke", func(session *session) { session.tracker.ReportBroken(at(1), session.target) }, true},
		{"it answered since a connection broke", func(session *session) {
			session.tracker.ReportBroken(at(1), session.target)
			session.tracker.ReportNothing(session.target, at(2))
		}, false},
		{"a connection to an earlier process broke", func(session *session) {
			earlier := session.target
			session.target.Born, session.target.ColdLeft = 2, 2*time.Second
			session.look(0)
			session.tracker.ReportBroken(at(1), earlier)
		}, false},
		{"an earlier process was cold", func(session *session) {
			session.answer(1, 2, warmUp)
			session.target.Born, session.target.ColdAt = 2, at(3)
		}, false},
		{"a new process of which no report is known", func(session *session) {
			session.answer(1, 2, time.Second)
			session.target.Born, session.target.ColdAt = 2, time.Time{}
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			session := &session{New(NewSenders(Member{})), catalogue.Target{ID: "i-1", DataCentre: "a", Born: 1, ColdAt: epoch}}
			test.happen(session)
			if got := session.look(5).Cold; got != test.want {
				t.Errorf("cold is %v, want %v", got, test.want)
			}
		})
	}
}

// TestReturnedLoadRisesInSteps guards against the whole load of a data centre at the moment of its return, also if its targets
// are warm.
func TestReturnedLoadRisesInSteps(t *testing.T) {
	session := &session{New(NewSenders(Member{})), catalogue.Target{ID: "i-1", DataCentre: "a", Born: 1, ColdAt: epoch}}
	session.tracker.SetView(returns{epoch})
	session.look(0)
	session.tracker.ReportNothing(session.target, at(0.1))
	for _, step := range []struct{ seconds, want float64 }{{0, 0.1}, {0.9, 0.1}, {5, 0.5}, {10, 1}, {60, 1}} {
		if got := session.look(step.seconds).Return; got != step.want {
			t.Errorf("after %v s the target gets %v of its load, want %v", step.seconds, got, step.want)
		}
	}
}

// TestStateIsDeleted guards against memory that grows with each target that was ever cold.
func TestStateIsDeleted(t *testing.T) {
	session := &session{New(NewSenders(Member{})), catalogue.Target{ID: "i-1", DataCentre: "a", Born: 1, ColdLeft: warmUp, ColdAt: epoch}}
	session.look(0)
	session.tracker.Sweep(at(5))
	if len(session.tracker.ColdTargets(at(5))) != 1 {
		t.Error("a cold target was forgotten")
	}
	session.tracker.Sweep(at(100))
	if len(session.tracker.processes) != 0 {
		t.Error("the state of a warm target that is not used was kept")
	}
}
