package query

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/extra"
	"shallotreel.example/reel/proptest"
	"shallotreel.example/reel/result"
)

func TestMain(m *testing.M) { proptest.Main(m, 0) }

// TestDecide guards against extra attempts that increase an overload and save no request, and against requests that fail for
// want of one.
func TestDecide(t *testing.T) {
	hedge := need{purpose: extra.Hedge, left: 100 * ms, answerTime: 30 * ms, missing: 3, mayLack: 2, rank: 1, overloaded: true}
	retry := hedge
	retry.purpose = extra.Retry
	change := func(need need, change func(*need)) need {
		change(&need)
		return need
	}
	for _, test := range []struct {
		name string
		need need
		want decision
	}{
		{"hedge without overload", change(hedge, func(need *need) { need.overloaded, need.missing, need.left = false, 1, -ms }), sendNow},
		{"hedge under overload", hedge, sendLater},
		{"hedge that the answer can do without", change(hedge, func(need *need) { need.missing = 2 }), sendNever},
		{"hedge that would be late", change(hedge, func(need *need) { need.left = 30 * ms }), sendNever},
		{"retry without overload", change(retry, func(need *need) { need.overloaded, need.missing, need.left = false, 1, -ms }), sendNow},
		{"retry under overload", retry, sendNow},
		{"retry that the answer can do without", change(retry, func(need *need) { need.missing = 2 }), sendNever},
		{"retry after the goal", change(retry, func(need *need) { need.left = 0 }), sendNever},
		{"retry of the highest rank after the goal", change(retry, func(need *need) { need.left, need.rank = 0, 0 }), sendNow},
	} {
		if got := decide(test.need); got != test.want {
			t.Errorf("%s: decision %d, want %d", test.name, got, test.want)
		}
	}
}

// TestDrawnDecisions guards against a change of behaviour without overload, and against an attempt that more time, a higher rank or fewer
// spare parts would prevent.
func TestDrawnDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := func(name string) int { return rapid.IntRange(0, 4).Draw(t, name) }
		drawn := need{purpose: extra.Purpose(number("purpose") % 2), left: time.Duration(number("left")-1) * ms,
			answerTime: time.Duration(number("answer time")) * ms, missing: number("missing"), mayLack: number("may lack"), rank: number("rank")}
		if decide(drawn) != sendNow {
			t.Fatal("an attempt is held back without overload")
		}
		drawn.overloaded = true
		better := drawn
		better.left += time.Duration(number("more time")) * ms
		better.mayLack -= number("fewer spare parts")
		better.rank = min(better.rank, number("other rank"))
		if decide(better) > decide(drawn) {
			t.Fatalf("%+v is sent rather than %+v", drawn, better)
		}
		if drawn.purpose == extra.Hedge && decide(drawn) == sendNow {
			t.Fatal("a hedge is sent under overload")
		}
	})
}

// TestExtrasUnderOverload checks that the machine keeps to the decisions.
func TestExtrasUnderOverload(t *testing.T) {
	t.Run("a hedge follows the end of the overload", func(t *testing.T) {
		session := newSession(t, single(true))
		session.router.overloaded = true
		session.begin()
		next := session.machine.NextWake(at(0))
		session.collect(session.machine.Wake(next))
		session.assertSends(1)
		session.router.overloaded = false
		session.collect(session.machine.Wake(session.machine.NextWake(next)))
		session.assertSends(2)
	})
	t.Run("only the shards that the answer must not lack are retried", func(t *testing.T) {
		session := newSession(t, scatterGather(10, 0.8))
		session.router.overloaded = true
		session.begin()
		for _, send := range session.sends[:3] {
			session.answer(5, send, refused)
		}
		session.assertSends(11)
		session.succeed(30, session.sends[3:])
		session.assertEnd(result.Partial)
	})
}
