package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	probePeriod      = 500 * time.Millisecond // between probe rounds
	directTimeout    = 200 * time.Millisecond // time without an Ack after which peers are requested to ping the member
	probeTimeout     = 500 * time.Millisecond // time without an Ack after which the member becomes suspect
	suspicionTimeout = 2 * time.Second        // time after which a suspect member that has not refuted the suspicion becomes dead
	deadProbePeriod  = 2 * time.Second        // between probes of one random dead member, which may have recovered
	deadRetention    = 10 * time.Minute       // time after which a dead member is removed
	pauseThreshold   = time.Second            // maximum time between two calls of Tick; a longer gap means that this process was paused
	probesPerPeriod  = 2                      // members of the own data centre probed in each round
	farProbePeriod   = time.Second            // between two probes of members of other data centres
	indirectProbes   = 3                      // peers that are requested to ping a member
)

// Machine is the state machine of the membership protocol on one instance. It is
// not safe for concurrent use.
type Machine struct {
	self          Member
	members       map[string]*entry
	random        *rand.Rand
	near          group // in the data centre of this instance
	far           group // in other data centres
	seq           uint64
	probes        map[uint64]*probe
	relays        map[uint64]relay
	timed         map[string]bool   // names of suspect and dead members, whose state changes after a timeout
	lost          map[string]*entry // members that were dead before this process knew them
	version       uint64            // incremented whenever a member changes
	lastProbe     time.Time
	lastFarProbe  time.Time
	lastDeadProbe time.Time
	lastTick      time.Time
	firstTick     time.Time
	complete      bool // whether this process should know all members: a peer sent them, or it has run for startTime
	nextPull      time.Time
}

// entry is a member and when its description last changed.
type entry struct {
	Member
	changedAt time.Time
}

// probe is a ping that awaits its Ack.
type probe struct {
	name         string
	sent         time.Time
	indirectSent bool
}

// relay is a ping that was sent on behalf of another instance.
type relay struct {
	requester Member
	seq       uint64
	sent      time.Time
}

// New returns the state machine of an instance that knows no other member.
func New(self Member, random *rand.Rand) *Machine {
	machine := &Machine{self: self, random: random, members: map[string]*entry{},
		probes: map[uint64]*probe{}, relays: map[uint64]relay{}, timed: map[string]bool{}, lost: map[string]*entry{}}
	machine.broadcast(self)
	return machine
}

// Self returns the current description of this instance.
func (machine *Machine) Self() Member {
	return machine.self
}

// Members returns all known members, including this instance, sorted by name.
func (machine *Machine) Members() []Member {
	members := []Member{machine.self}
	for _, entry := range machine.members {
		members = append(members, entry.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Introduce adds an instance that the platform or the settings list as joining and
// pings it. It does nothing if the instance is already a member.
func (machine *Machine) Introduce(now time.Time, member Member) Output {
	if _, known := machine.members[member.Name]; known || member.Name == machine.self.Name {
		return Output{}
	}
	member.Incarnation, member.Version, member.State = 0, 0, Joining
	machine.store(now, member)
	message := machine.newMessage(Ping, machine.startProbe(now, member.Name), member)
	return Output{
		Sends:   []Send{{member.Peer, message}},
		Changes: []Change{{member, "introduced"}},
	}
}

// Ready changes the state of this instance from joining to alive and announces it
// to the peers.
func (machine *Machine) Ready(_ time.Time) Output {
	if machine.self.State != Joining {
		return Output{}
	}
	machine.self.State = Alive
	machine.incrementVersion()
	return Output{Sends: machine.gossip()}
}

// Leave changes the state of this instance to leaving and announces it to the peers.
func (machine *Machine) Leave(_ time.Time) Output {
	machine.self.State = Leaving
	machine.incrementVersion()
	return Output{Sends: machine.gossip()}
}

// SetLoad changes the load of this instance and announces it to the peers.
func (machine *Machine) SetLoad(_ time.Time, load Load) Output {
	if machine.self.Load == load {
		return Output{}
	}
	machine.self.Load = load
	machine.incrementVersion()
	return Output{Sends: machine.gossip()}
}

// SetPathLost changes whether this instance reaches no target and announces it to the peers.
func (machine *Machine) SetPathLost(_ time.Time, lost bool) Output {
	if machine.self.PathLost == lost {
		return Output{}
	}
	machine.self.PathLost = lost
	machine.incrementVersion()
	return Output{Sends: machine.gossip()}
}

// Receive handles a message from a peer.
func (machine *Machine) Receive(now time.Time, message Message) Output {
	if message.From.Name == machine.self.Name && message.From.Incarnation == machine.self.Incarnation {
		return Output{}
	}
	started := machine.hasStarted(message.From)
	output := machine.Merge(now, []Member{message.From})
	if message.Type == Members {
		machine.handleMembers(now, message, &output)
		return output
	}
	output.add(machine.Merge(now, message.Updates))
	switch message.Type {
	case Ping:
		output.Sends = append(output.Sends, machine.answerPing(message))
		if started {
			output.Sends = append(output.Sends, machine.introducePeers(message.From)...)
		}
	case PingRequest:
		machine.seq++
		machine.relays[machine.seq] = relay{message.From, message.Seq, now}
		ping := Message{Type: Ping, From: machine.self, Seq: machine.seq}
		output.Sends = append(output.Sends, Send{message.PingAddress, ping})
	case Ack:
		output.Sends = append(output.Sends, machine.handleAck(message)...)
	case Pull:
		output.Sends = append(output.Sends, machine.answerPull(message)...)
	case Gossip, Members:
	}
	return output
}

// answerPing returns the acknowledgement of a ping.
func (machine *Machine) answerPing(message Message) Send {
	reply := machine.newMessage(Ack, message.Seq, message.From)
	reply.Responder = machine.self.Name
	reply.Updates = machine.appendRefutable(message.From, reply.Updates)
	return Send{message.From.Peer, reply}
}

// handleAck ends the probe that the message acknowledges. If the ping was sent on
// behalf of another instance, it returns the acknowledgement to forward.
func (machine *Machine) handleAck(message Message) []Send {
	if probe, ok := machine.probes[message.Seq]; ok && probe.name == message.Responder {
		delete(machine.probes, message.Seq)
	}
	relay, ok := machine.relays[message.Seq]
	if !ok {
		return nil
	}
	delete(machine.relays, message.Seq)
	answer := machine.newMessage(Ack, relay.seq, relay.requester)
	answer.Responder = message.Responder
	return []Send{{relay.requester.Peer, answer}}
}

// Merge applies the descriptions that supersede the known ones, and queues them for
// gossip. An unknown member that is reported dead is not added.
func (machine *Machine) Merge(now time.Time, updates []Member) Output {
	output := machine.learn(now, updates)
	for _, change := range output.Changes {
		machine.broadcast(change.Member)
	}
	return output
}

// learn applies the descriptions like Merge, but does not queue them for gossip.
func (machine *Machine) learn(now time.Time, updates []Member) Output {
	var output Output
	for _, update := range updates {
		if update.Name == machine.self.Name {
			output.Replaced = output.Replaced || machine.refute(update)
			continue
		}
		known, ok := machine.members[update.Name]
		if ok && !update.Newer(known.Member) {
			continue
		}
		if !ok && update.State == Dead {
			machine.noteLost(now, update)
			continue
		}
		machine.store(now, update)
		output.Changes = append(output.Changes, Change{update, "reported by a peer"})
	}
	return output
}

// Tick handles the passage of time: it starts probes, ends those that timed out and
// sends pending gossip. If the previous call is longer ago than pauseThreshold, this
// process itself was paused, so pending probes are discarded and suspicions restart.
func (machine *Machine) Tick(now time.Time) Output {
	var output Output
	if gap := now.Sub(machine.lastTick); gap > pauseThreshold {
		clear(machine.probes)
		machine.restartSuspicions(now)
	}
	machine.lastTick = now
	if machine.firstTick.IsZero() {
		machine.firstTick = now
	}
	machine.checkTimeouts(now, &output)
	if now.Sub(machine.lastProbe) >= probePeriod {
		machine.lastProbe = now
		output.Sends = append(output.Sends, machine.probeNext(now)...)
	}
	if now.Sub(machine.lastDeadProbe) >= deadProbePeriod {
		machine.lastDeadProbe = now
		output.Sends = append(output.Sends, machine.probeDead(now)...)
	}
	output.Sends = append(output.Sends, machine.pull(now)...)
	output.Sends = append(output.Sends, machine.gossip()...)
	return output
}

// Version returns a number that is incremented whenever the result of Members changes.
func (machine *Machine) Version() uint64 {
	return machine.version
}

// appendRefutable adds the known description of the member if it is suspect or dead,
// so that the member can refute it.
func (machine *Machine) appendRefutable(member Member, updates []Member) []Member {
	known, ok := machine.members[member.Name]
	if ok && known.State >= Suspect {
		return append(updates, known.Member)
	}
	return updates
}

// refute handles a description of this instance by a peer. If it supersedes the own
// description, refute announces a higher version. It reports whether a process with
// a higher incarnation runs under this instance's name.
func (machine *Machine) refute(update Member) bool {
	if update.Incarnation > machine.self.Incarnation {
		return true
	}
	if update.Newer(machine.self) {
		machine.self.Version = update.Version
		machine.incrementVersion()
	}
	return false
}

// incrementVersion gives this instance's description a higher version and queues it
// for gossip.
func (machine *Machine) incrementVersion() {
	machine.version++
	machine.self.Version++
	machine.broadcast(machine.self)
}

// store saves the description of a member and updates the indexes.
func (machine *Machine) store(now time.Time, member Member) {
	machine.version++
	if known, ok := machine.members[member.Name]; !ok {
		machine.groupOf(member).add(member.Name)
	} else if known.DataCentre != member.DataCentre {
		machine.groupOf(known.Member).remove(member.Name)
		machine.groupOf(member).add(member.Name)
	}
	machine.members[member.Name] = &entry{member, now}
	delete(machine.timed, member.Name)
	delete(machine.lost, member.Name)
	if member.State == Suspect || member.State == Dead {
		machine.timed[member.Name] = true
	}
}

func (machine *Machine) remove(name string) {
	machine.version++
	machine.groupOf(machine.members[name].Member).remove(name)
	delete(machine.members, name)
	delete(machine.timed, name)
}

// update saves a changed description of a member and queues it for gossip.
func (machine *Machine) update(now time.Time, member Member, reason string) Change {
	machine.store(now, member)
	machine.broadcast(member)
	return Change{member, reason}
}

// add appends the results of another step.
func (output *Output) add(other Output) {
	output.Sends = append(output.Sends, other.Sends...)
	output.Changes = append(output.Changes, other.Changes...)
	output.Replaced = output.Replaced || other.Replaced
}
