package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"shallotreel.example/reel/contact"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/gossip"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/platform"
	"shallotreel.example/reel/publication"
	"shallotreel.example/reel/quarantine"
	"shallotreel.example/reel/revision"
)

const (
	broadcastFanout    = 3                // random peers that each broadcast is sent to
	joinTimeout        = 2 * time.Second  // how long after its start an instance waits for the first answer of a peer
	pullTimeout        = time.Second      // time after which a pull without reply no longer counts as pending
	maxConcurrentPulls = 2                // pending pulls after this instance has joined
	leavingRetention   = 10 * time.Second // how long a target is remembered as leaving
	sweepPeriod        = 10 * time.Second // time between two removals of expired entries
	marksPerPacket     = 4                // quarantine marks in one packet, at most
	leavingPerPacket   = 8                // names of leaving targets in one packet, at most
)

// InstanceList is the list of entry instances that the platform publishes.
type InstanceList struct {
	Version   uint64              `json:"version"`
	Instances []platform.Instance `json:"instances"`
}

// Machine is the state machine of one instance in the protocol between instances. It has no clock or socket: each
// method is given the time and returns what its host must send. It is not safe for concurrent use.
type Machine struct {
	members      *member.Machine
	contact      *contact.Machine
	revision     *revision.Machine
	store        publication.Store
	crashHistory *quarantine.Tracker
	markQueue    gossip.Queue[quarantine.Mark]     // marks still to be broadcast
	leavingQueue gossip.Queue[string]              // leaving targets still to be broadcast
	summaryQueue gossip.Queue[publication.Summary] // not empty while a change of the store is to be broadcast; packets carry the current summary
	leavingUntil map[string]time.Time              // end of leavingRetention by name of the target
	instances    InstanceList
	seeds        []netip.AddrPort
	started      time.Time
	joined       bool                         // a peer has answered a pull
	ready        bool                         // the host can serve requests
	pendingPulls map[netip.AddrPort]time.Time // start times by address of the peer
	failedDeltas map[string]bool              // keys whose last update could not be decoded; their values are pulled whole
	lastSweep    time.Time
	lastSeedPull time.Time
}

// New returns the machine of an instance that starts now and knows only its seed addresses.
func New(now time.Time, self member.Member, seeds []netip.AddrPort, crashHistory *quarantine.Tracker, random *rand.Rand) *Machine {
	contactMachine := contact.New(self.Name)
	return &Machine{
		members: member.New(self, random), contact: contactMachine, revision: revision.New(contactMachine),
		crashHistory: crashHistory, seeds: seeds, started: now,
		leavingUntil: map[string]time.Time{}, pendingPulls: map[netip.AddrPort]time.Time{}, failedDeltas: map[string]bool{},
	}
}

// Tick does what is due at the given time; the host calls it periodically.
func (machine *Machine) Tick(now time.Time) Output {
	var output Output
	output.Paused = machine.contact.Tick(now)
	if output.Paused {
		output.LogMessages = append(output.LogMessages,
			"process was paused; it accepts no new work until it has contact with the platform or a majority of the voters")
	}
	output.add(machine.wrapOutput(now, machine.members.Tick(now)))
	output.add(machine.pullSeeds(now))
	if machine.markQueue.Len() > 0 || machine.leavingQueue.Len() > 0 || machine.summaryQueue.Len() > 0 {
		output.add(machine.broadcast(now))
	}
	if doc, ok := machine.revision.Tick(now, machine.joinComplete(now)); ok {
		output.InForce = doc
		output.LogMessages = append(output.LogMessages,
			fmt.Sprintf("revision %d in force, preset %s", doc.Revision, doc.PresetInForce))
		machine.summaryQueue.Put("clock", machine.store.Summary())
	}
	if machine.ready && machine.Standing(now) == contact.Good {
		output.add(machine.wrapOutput(now, machine.members.Ready(now)))
	}
	machine.sweep(now)
	return output
}

// Receive handles a packet from a peer. It ignores a packet that may have waited in a buffer while this process was
// paused.
func (machine *Machine) Receive(now time.Time, packet Packet) Output {
	if !machine.contact.MergeHeartbeats(now, packet.Heartbeats) {
		return Output{}
	}
	// The switch state is merged whenever the heartbeats are. The heartbeats that this instance passes on renew the
	// leases of its peers, so its packets must also carry the switch state that was received with the heartbeats.
	machine.revision.MergeSwitchState(now, packet.SwitchState)
	output := machine.wrapOutput(now, machine.members.Receive(now, packet.Member))
	output.add(machine.mergeMarks(now, packet.Marks))
	machine.mergeLeaving(now, packet.Leaving, &output)
	if machine.store.Summary().Behind(packet.Summary) {
		output.Pulls = append(output.Pulls, machine.pull(now, packet.Member.From.Peer)...)
	}
	return output
}

// HandlePull returns the reply to a peer's pull, and adds the peer to the members.
func (machine *Machine) HandlePull(now time.Time, request PullRequest) (PullReply, Output) {
	reply := PullReply{
		Updates: machine.store.UpdatesFor(request.Stamps), Members: machine.members.Members(),
		Marks: machine.crashHistory.Marks(now), Leaving: machine.LeavingTargets(now), Switch: machine.revision.SwitchState(),
	}
	return reply, machine.wrapOutput(now, machine.members.Merge(now, []member.Member{request.From}))
}

// PullRequest returns the request to send to a peer. It omits the stamps of values whose last update could not be
// decoded, so that the peer sends these values whole.
func (machine *Machine) PullRequest() PullRequest {
	stamps := machine.store.Stamps()
	for key := range machine.failedDeltas {
		delete(stamps, key)
	}
	return PullRequest{Stamps: stamps, From: machine.members.Self()}
}

// HandlePullReply handles the reply of the peer at the given address; reply is nil if the pull has failed.
func (machine *Machine) HandlePullReply(now time.Time, from netip.AddrPort, reply *PullReply) Output {
	delete(machine.pendingPulls, from)
	if reply == nil {
		return Output{}
	}
	machine.revision.MergeSwitchState(now, reply.Switch)
	output := machine.wrapOutput(now, machine.members.Merge(now, reply.Members))
	for _, update := range reply.Updates {
		value, err := machine.store.Decode(update)
		if err != nil {
			machine.failedDeltas[update.Key] = true
			output.LogMessages = append(output.LogMessages,
				fmt.Sprintf("cannot decode the update of %s from peer %v: %v", update.Key, from, err))
			continue
		}
		delete(machine.failedDeltas, update.Key)
		output.add(machine.offerValue(now, value, "peer "+from.String(), false))
	}
	// The updates may have brought the revision that the peer's votes belong to, so its state is merged again.
	machine.revision.MergeSwitchState(now, reply.Switch)
	output.add(machine.mergeMarks(now, reply.Marks))
	machine.mergeLeaving(now, reply.Leaving, &output)
	machine.joined = true
	return output
}

// HandlePlatformValue handles an answer of the platform with the version of a value; data is nil if the value has not
// changed. An answer with a document that is not older than the stored one renews the lease.
func (machine *Machine) HandlePlatformValue(now time.Time, key string, version uint64, data []byte) Output {
	current, ok := machine.store.Get(key)
	leaseExpired := now.After(machine.contact.LeaseExpiry())
	if key == platform.DocumentKey && !machine.contact.JustResumed(now) && (!ok || version >= current.Version) {
		machine.contact.RecordPlatformAnswer(now)
	}
	if data == nil {
		return Output{}
	}
	return machine.offerValue(now, publication.Value{Key: key, Version: version, Data: data}, "platform", leaseExpired)
}

// BroadcastMark sends a quarantine mark to random peers, now and in later packets.
func (machine *Machine) BroadcastMark(now time.Time, mark quarantine.Mark) Output {
	machine.markQueue.Put(fmt.Sprint(mark.Fingerprint), mark)
	return machine.broadcast(now)
}

// BroadcastLeaving records that the named target is leaving and notifies random peers, now and in later packets.
func (machine *Machine) BroadcastLeaving(now time.Time, name string) Output {
	machine.leavingUntil[name] = now.Add(leavingRetention)
	machine.leavingQueue.Put(name, name)
	return machine.broadcast(now)
}

// Leave notifies random peers that this instance is leaving.
func (machine *Machine) Leave(now time.Time) Output {
	return machine.wrapOutput(now, machine.members.Leave(now))
}

// InForce returns the document in force, or nil before the first one takes effect.
func (machine *Machine) InForce() *document.Document { return machine.revision.InForce() }

// SetReady records that the host can serve requests; the peers are notified once the standing is good.
func (machine *Machine) SetReady() { machine.ready = true }

// Self returns the description of this instance.
func (machine *Machine) Self() member.Member { return machine.members.Self() }

// Members returns all known instances, this one included, ordered by name.
func (machine *Machine) Members() []member.Member { return machine.members.Members() }

// MembersVersion returns a number that rises whenever the result of Members changes.
func (machine *Machine) MembersVersion() uint64 { return machine.members.Version() }

// Value returns the newest version of a published value and whether there is one.
func (machine *Machine) Value(key string) (publication.Value, bool) { return machine.store.Get(key) }

// NewestStamp returns the stamp of the newest valid revision, or the zero Stamp before the first.
func (machine *Machine) NewestStamp() revision.Stamp {
	return revision.StampOf(machine.revision.Newest())
}

// Voters returns the names of the instances whose votes count.
func (machine *Machine) Voters() []string { return machine.contact.Voters() }

// LeavingTargets returns the names of the targets that are known to be leaving, in ascending order.
func (machine *Machine) LeavingTargets(now time.Time) []string {
	var names []string
	for name, until := range machine.leavingUntil {
		if now.Before(until) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Standing returns whether this instance may accept new work.
func (machine *Machine) Standing(now time.Time) contact.Standing {
	standing := machine.contact.Standing(now)
	if standing != contact.Good {
		return standing
	}
	if !machine.joinComplete(now) || machine.InForce() == nil {
		return contact.Waiting
	}
	if until, known := machine.revision.AdmitUntil(); known && !now.Before(until) {
		return contact.Undecided
	}
	return contact.Good
}

// LeaseExpiry returns the time until which this instance may accept new work unless the lease is renewed.
func (machine *Machine) LeaseExpiry() time.Time {
	return machine.contact.LeaseExpiry()
}

// NextRevision returns the revision that takes effect next and the time at which it does, or nil and the zero time
// while these are not decided.
func (machine *Machine) NextRevision() (*document.Document, time.Time) {
	at, decided := machine.revision.ActivationTime()
	if !decided || machine.InForce() == nil || machine.revision.Newest() == machine.InForce() {
		return nil, time.Time{}
	}
	return machine.revision.Newest(), at
}

// AdmitUntil returns the time from which no request may be admitted under the revision in force, and false if no such
// time is known.
func (machine *Machine) AdmitUntil() (time.Time, bool) {
	return machine.revision.AdmitUntil()
}

// joinComplete reports whether a peer has answered a pull or joinTimeout has passed.
func (machine *Machine) joinComplete(now time.Time) bool {
	return machine.joined || now.Sub(machine.started) >= joinTimeout
}
