package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestDivision guards against parts that are larger than the rate together, and against instances that take more because they know
// more senders, by which parts overlap while a change of the members spreads.
func TestDivision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 200).Draw(t, "rate")
		centres := rapid.IntRange(1, 12).Draw(t, "data centres")
		target := fmt.Sprint("i-", rapid.IntRange(0, 99).Draw(t, "target"))
		var all, some []Sender
		for i := range centres + rapid.IntRange(0, 60).Draw(t, "further") {
			sender := Sender{Name: fmt.Sprint("front-", i), DataCentre: string(rune('a' + i%centres)),
				Idle: i >= centres && rapid.IntRange(0, 3).Draw(t, "idle") == 0}
			all = append(all, sender)
			if i < centres || rapid.Bool().Draw(t, "known") {
				some = append(some, sender)
			}
		}
		sum := 0.0
		whole, partial := Divide(all), Divide(some)
		for _, sender := range some {
			if more, less := whole.Part(rate, target, "a", sender), partial.Part(rate, target, "a", sender); more > less {
				t.Fatalf("%s takes %v of %v, and %v without some of the others", sender.Name, more, rate, less)
			}
		}
		holders := 0
		for _, sender := range all {
			if part := whole.Part(rate, target, "a", sender); part > 0 {
				sum += part
				holders++
			}
		}
		if sum > rate*1.0001 || sum < rate*0.9999 {
			t.Fatalf("the parts are %v together, want %v", sum, rate)
		}
		if float64(holders) > freeCount+(excess-1)*rate {
			t.Fatalf("%d instances hold parts of %v, and may exceed it by one request each", holders, rate)
		}
	})
}
