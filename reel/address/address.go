package address

import (
	"math/rand/v2"
	"slices"

	"shallotreel.example/reel/caller"
	"shallotreel.example/reel/member"
)

// most bounds the addresses in one answer.
const most = 9

// Book hands out addresses in turn; New makes one.
type Book struct {
	random *rand.Rand
	turn   map[string]int // by data centre
}

// New returns a book that starts at a random turn.
func New(random *rand.Rand) *Book {
	return &Book{random: random, turn: map[string]int{}}
}

// Order returns the instances that serve, the caller's data centre first unless it is full.
func (book *Book) Order(members []member.Member, dataCentre string, full bool) []caller.Address {
	near, far := divide(members, dataCentre, func(known *member.Member) bool {
		return known.State.Serves() && known.Incarnation != 0
	})
	if full || len(near) == 0 {
		near, far = far, near
	}
	return book.list(dataCentre, near, far)
}

// Beyond returns the instances that an isolated instance does not reach, which may well serve.
func (book *Book) Beyond(members []member.Member, dataCentre string) []caller.Address {
	near, far := divide(members, dataCentre, func(known *member.Member) bool {
		return known.State == member.Suspect || known.State == member.Dead
	})
	return book.list(dataCentre, near, far)
}

func divide(members []member.Member, dataCentre string, match func(*member.Member) bool) (near, far []*member.Member) {
	for i := range members {
		member := &members[i]
		switch {
		case !match(member):
		case member.DataCentre == dataCentre:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	return near, far
}

// list takes the next of the first members in turn, then others of them at random, then of the second.
func (book *Book) list(turn string, first, second []*member.Member) []caller.Address {
	addresses := make([]caller.Address, 0, most)
	for _, members := range [][]*member.Member{first, second} {
		for _, at := range book.sample(turn, len(members), most-len(addresses)) {
			addresses = append(addresses, caller.Address{Instance: members[at].Name,
				Address: members[at].Caller, DataCentre: members[at].DataCentre})
		}
	}
	return addresses
}

// sample returns up to n different places below size: the next in turn first, the others at random, so
// that the loss of an instance spreads evenly.
func (book *Book) sample(turn string, size, n int) []int {
	if size == 0 || n <= 0 {
		return nil
	}
	if _, known := book.turn[turn]; !known {
		book.turn[turn] = book.random.IntN(size)
	}
	places := []int{book.turn[turn] % size}
	book.turn[turn]++
	for len(places) < min(n, size) {
		if place := book.random.IntN(size); !slices.Contains(places, place) {
			places = append(places, place)
		}
	}
	return places
}
