package address

import (
	"math/rand/v2"

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
	near, far := divide(members, dataCentre, func(known member.Member) bool {
		return known.State.Serves() && known.Incarnation != 0
	})
	first, second := book.rotate(dataCentre, near), book.rotate("", far)
	if full || len(first) == 0 {
		first, second = second, first
	}
	return list(append(first, second...))
}

// Beyond returns the instances that an isolated instance does not reach, which may well serve.
func (book *Book) Beyond(members []member.Member, dataCentre string) []caller.Address {
	near, far := divide(members, dataCentre, func(known member.Member) bool {
		return known.State == member.Suspect || known.State == member.Dead
	})
	return list(append(book.rotate(dataCentre, near), book.rotate("", far)...))
}

func divide(members []member.Member, dataCentre string, match func(member.Member) bool) (near, far []member.Member) {
	for _, member := range members {
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

func list(members []member.Member) []caller.Address {
	var addresses []caller.Address
	for _, member := range members[:min(most, len(members))] {
		addresses = append(addresses, caller.Address{Instance: member.Name,
			Address: member.Caller, DataCentre: member.DataCentre})
	}
	return addresses
}

// rotate puts the next instance in turn first and shuffles the others, so that a loss spreads evenly.
func (book *Book) rotate(key string, members []member.Member) []member.Member {
	if len(members) == 0 {
		return nil
	}
	if _, known := book.turn[key]; !known {
		book.turn[key] = book.random.IntN(len(members))
	}
	at := book.turn[key] % len(members)
	book.turn[key] = at + 1
	members[0], members[at] = members[at], members[0]
	rest := members[1:]
	book.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return members
}
