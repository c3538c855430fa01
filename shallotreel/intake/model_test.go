package intake

import (
	"testing"

	"pgregory.net/rapid"

	"shallotreel.example/reel/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, 0) }

// TestMemory draws what holds do, and checks that the memory counts each of them until its end, keeps its limits, and ends those alone that
// wait, the one first that has got on least recently.
func TestMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &memoryModel{t: t, memory: NewMemory(256 << 10)}
		model.door = model.memory.Door(12)
		t.Repeat(map[string]func(*rapid.T){"": model.check, "open": model.open, "grow": model.grow, "shrink": model.shrink, "wait": model.wait,
			"busy": model.busy, "touch": model.touch, "take": model.take, "release": model.release})
	})
}

// modelHold is a hold as it should be.
type modelHold struct {
	hold  *Hold
	bytes [Answer + 1]int // by use
	waits bool
	seen  int // when it has got on last
	ended int // times that it was ended
}

func (hold *modelHold) size() int { return hold.bytes[Message] + hold.bytes[Work] + hold.bytes[Answer] }

type memoryModel struct {
	t      *rapid.T
	memory *Memory
	door   *Door
	holds  []*modelHold
	clock  int
}

func (model *memoryModel) draw(t *rapid.T) *modelHold {
	if len(model.holds) == 0 {
		t.Skip("no hold")
	}
	return rapid.SampledFrom(model.holds).Draw(t, "hold")
}

// check compares the counts, and that nothing was ended that does not wait.
func (model *memoryModel) check(t *rapid.T) {
	held, long, connections := 0, 0, len(model.holds)
	for _, hold := range model.holds {
		held += hold.size()
		if hold.bytes[Message] > ShortBytes {
			long += hold.bytes[Message]
		}
	}
	if model.memory.Held() != int64(held) || model.memory.long != int64(long) {
		t.Fatalf("%d bytes are counted, %d of them long; want %d and %d", model.memory.Held(), model.memory.long, held, long)
	}
	if model.door.Open() != connections || connections > model.door.most {
		t.Fatalf("%d connections are open, want %d, at most %d", model.door.Open(), connections, model.door.most)
	}
}

// sweep removes the holds that were ended, which must be those that had got on least recently among the ones of their kind.
func (model *memoryModel) sweep(t *rapid.T, before []*modelHold) {
	var kept []*modelHold
	for _, hold := range model.holds {
		switch {
		case hold.ended == 0:
			kept = append(kept, hold)
		case !hold.waits || hold.ended > 1:
			t.Fatalf("a hold that waits: %v was ended %d times", hold.waits, hold.ended)
		}
	}
	for _, gone := range before {
		for _, hold := range kept {
			long := gone.bytes[Message] > ShortBytes
			if gone.ended > 0 && hold.waits && hold.seen < gone.seen && long == (hold.bytes[Message] > ShortBytes) {
				t.Fatal("a hold was ended before one that has got on less recently")
			}
		}
	}
	model.holds = kept
}

func (model *memoryModel) open(t *rapid.T) {
	model.clock++
	added := &modelHold{seen: model.clock, waits: true}
	before := append([]*modelHold(nil), model.holds...)
	hold, ok := model.door.Enter(func() { added.ended++ })
	model.sweep(t, before)
	if ok {
		added.hold, added.bytes[Work] = hold, connectionBytes
		model.holds = append(model.holds, added)
	}
}

func (model *memoryModel) grow(t *rapid.T) {
	hold := model.draw(t)
	use := Use(rapid.IntRange(0, int(Answer)).Draw(t, "use"))
	size := rapid.SampledFrom([]int{1, 4 << 10, 16 << 10, 64 << 10, 200 << 10}).Draw(t, "size")
	before := append([]*modelHold(nil), model.holds...)
	waits := hold.waits
	hold.waits = false
	err := hold.hold.Grow(use, size)
	model.sweep(t, before)
	if hold.waits = waits; waits {
		model.clock++
		hold.seen = model.clock
	}
	if err != nil {
		if len(model.holds) != len(before) {
			t.Fatal("holds were ended for one that got no room")
		}
		return
	}
	hold.bytes[use] += size
	limit := model.memory.limit
	alone := use == Message && hold.bytes[Message] > ShortBytes && model.memory.long == int64(hold.bytes[Message])
	if !alone && (model.memory.Held() > limit || use == Message && hold.bytes[Message] > ShortBytes && model.memory.long > limit/longShare) {
		t.Fatalf("%d bytes are counted, %d of them long, at a limit of %d", model.memory.Held(), model.memory.long, limit)
	}
}

func (model *memoryModel) shrink(t *rapid.T) {
	hold := model.draw(t)
	use := Use(rapid.IntRange(0, int(Answer)).Draw(t, "use"))
	size := rapid.IntRange(0, hold.bytes[use]).Draw(t, "size")
	hold.hold.Shrink(use, size)
	model.add(hold, use, -size)
}

// add changes a count; a hold whose messages become long or short gets on.
func (model *memoryModel) add(hold *modelHold, use Use, size int) {
	wasLong := hold.bytes[Message] > ShortBytes
	hold.bytes[use] += size
	if isLong := hold.bytes[Message] > ShortBytes; hold.waits && isLong != wasLong {
		model.clock++
		hold.seen = model.clock
	}
}

func (model *memoryModel) wait(t *rapid.T) {
	hold := model.draw(t)
	hold.hold.Wait()
	if !hold.waits {
		model.clock++
		hold.waits, hold.seen = true, model.clock
	}
}

func (model *memoryModel) busy(t *rapid.T) {
	hold := model.draw(t)
	if !hold.hold.Busy() {
		t.Fatal("a hold has ended without a word")
	}
	hold.waits = false
}

func (model *memoryModel) touch(t *rapid.T) {
	hold := model.draw(t)
	hold.hold.Touch()
	if hold.waits {
		model.clock++
		hold.seen = model.clock
	}
}

func (model *memoryModel) take(t *rapid.T) {
	to, from := model.draw(t), model.draw(t)
	size := rapid.IntRange(0, from.bytes[Message]).Draw(t, "size")
	to.hold.take(from.hold, Message, size)
	model.add(from, Message, -size)
	model.add(to, Message, size)
}

func (model *memoryModel) release(t *rapid.T) {
	gone := model.draw(t)
	gone.hold.Release()
	var kept []*modelHold
	for _, hold := range model.holds {
		if hold != gone {
			kept = append(kept, hold)
		}
	}
	model.holds = kept
}
