package cursor

import (
	"context"
	"maps"
	"slices"
	"time"

	"shallotreel.example/reel/catalogue"
)

// errNoAnswer is the timeout of a call by a new connection.
var errNoAnswer = context.DeadlineExceeded

// errSilent is the timeout of a call by a connection that an earlier call has used.
var errSilent = reusedError{errNoAnswer}

type reusedError struct{ error }

func (err reusedError) Unwrap() error          { return err.error }
func (err reusedError) ReusedConnection() bool { return true }

// instance is one process of shallotreel.
type instance struct {
	simulation *simulation
	number     int
	process    uint64
	cursor     Cursor
	catalogue  *catalogue.Catalogue
	published  Position // that peers see
	contact    time.Time
	cutUntil   time.Time // from the store
	apartUntil time.Time // from peers
	version    uint64
	startedAt  time.Time
	offSince   time.Time // zero while the process runs
	leavingAt  time.Time // when it was told to stop, zero if it was not
	conn       storeConn
}

// storeConn is the connection of an instance to the store, by which it makes one call after the other.
type storeConn struct {
	isOpen bool
	reused bool // whether an earlier call has used it
	usedAt time.Time
	silent bool // whether nothing arrives any more, in either direction
}

// start starts a process of the instance, which knows nothing.
func (instance *instance) start() {
	instance.process, instance.startedAt, instance.offSince = instance.simulation.random.Uint64(), instance.simulation.Now, time.Time{}
	instance.leavingAt, instance.conn = time.Time{}, storeConn{}
	instance.cursor, instance.catalogue = Cursor{}, catalogue.New()
	instance.published, instance.contact, instance.version = Position{}, time.Time{}, 0
	instance.later(0, instance.read)
	var tick func()
	tick = func() {
		instance.catalogue.Tick(instance.simulation.Now)
		instance.later(250*time.Millisecond, tick)
	}
	tick()
}

// stop ends the process without notice, for the given time.
func (instance *instance) stop(duration time.Duration) {
	instance.process, instance.offSince = 0, instance.simulation.Now
	instance.simulation.Schedule(duration, instance.start)
}

// later runs the function after the delay if the process still runs.
func (instance *instance) later(delay time.Duration, run func()) {
	process := instance.process
	instance.simulation.Schedule(delay, func() {
		if instance.process == process {
			run()
		}
	})
}

// read makes the next read and continues when it has ended.
func (instance *instance) read() {
	simulation := instance.simulation
	reader := simulation.reader()
	next := instance.cursor.Next(simulation.Now, reader != instance && !reader.contact.IsZero())
	switch {
	case next.Peer:
		instance.later(hop, func() { instance.readPeer(reader, simulation.Now.Add(PeerHold)) })
	case next.Whole:
		instance.call(CallTimeout, func(time.Time) { instance.readAll(next, "") })
	default:
		instance.call(next.Wait+CallTimeout, func(deadline time.Time) { instance.watch(next, simulation.Now.Add(next.Wait), deadline) })
	}
}

// call makes a call of the store, by a new connection if there is none or it has been idle for too long.
func (instance *instance) call(timeout time.Duration, run func(deadline time.Time)) {
	now := instance.simulation.Now
	deadline := now.Add(timeout)
	if instance.conn.isOpen && now.Sub(instance.conn.usedAt) < IdleTimeout {
		instance.conn.reused = true
		instance.later(hop, func() { instance.awaitStore(deadline, func() { run(deadline) }) })
		return
	}
	instance.conn = storeConn{}
	instance.awaitStore(now.Add(DialTimeout), func() {
		instance.conn.isOpen = true
		instance.later(3*hop, func() { instance.awaitStore(deadline, func() { run(deadline) }) })
	})
}

// awaitStore runs the function, which sends or answers a call, once the store reaches the instance again. The call ends at the deadline.
func (instance *instance) awaitStore(deadline time.Time, run func()) {
	now := instance.simulation.Now
	switch {
	case !now.Before(deadline):
		err := error(errNoAnswer)
		if instance.conn.reused {
			err = errSilent
		}
		instance.conn = storeConn{}
		instance.end(err, 0)
	case instance.conn.silent || now.Before(instance.cutUntil) || now.Before(instance.simulation.downUntil):
		instance.later(pollPeriod, func() { instance.awaitStore(deadline, run) })
	default:
		run()
	}
}

// readAll reads the page of keys after the given one, and those that follow. Each page that may be stale comes from a replica of its own.
func (instance *instance) readAll(read Read, after string) {
	simulation := instance.simulation
	era, state := simulation.era, simulation.replica(read.AllowStale)
	keys := slices.Sorted(maps.Keys(state.items))
	first, _ := slices.BinarySearch(keys, after+"\x00")
	keys = keys[first:]
	hasMore := len(keys) > simulation.pageSize
	keys = keys[:min(simulation.pageSize, len(keys))]
	var items []record
	for _, key := range keys {
		items = append(items, state.items[key])
	}
	instance.later(simulation.draw(simulation.answerTime), func() {
		instance.conn.usedAt = simulation.Now
		before := instance.cursor.Position().Era
		if err := instance.cursor.Accept(era); err != nil {
			instance.end(err, before)
			return
		}
		instance.catalogue.StoreAnswered(simulation.Now, 0)
		if after == "" {
			instance.catalogue.BeginListing()
		}
		instance.apply(era, items)
		position := instance.cursor.ReadPage(after == "", state.revision)
		if hasMore {
			instance.call(CallTimeout, func(time.Time) { instance.readAll(read, keys[len(keys)-1]) })
			return
		}
		instance.catalogue.EndListing(simulation.Now, position)
		pause := instance.cursor.ReadAll(read.AllowStale)
		instance.succeed(pause, !read.AllowStale, 0)
	})
}

// watch waits for a change until the time; the call ends at the deadline.
func (instance *instance) watch(read Read, until, deadline time.Time) {
	simulation := instance.simulation
	era, revision := simulation.era, simulation.state.revision
	if read.After > revision {
		instance.later(hop, func() { instance.end(ErrHistoryLost, 0) })
		return
	}
	changes := slices.Clone(simulation.state.events)
	changes = slices.DeleteFunc(changes, func(change record) bool { return change.revision <= read.After })
	if len(changes) == 0 && simulation.Now.Before(until) {
		instance.later(pollPeriod, func() {
			instance.awaitStore(deadline, func() { instance.watch(read, until, deadline) })
		})
		return
	}
	instance.later(simulation.draw(simulation.answerTime), func() {
		instance.conn.usedAt = simulation.Now
		before := instance.cursor.Position().Era
		if err := instance.cursor.Accept(era); err != nil {
			instance.end(err, before)
			return
		}
		instance.catalogue.StoreAnswered(simulation.Now, 0)
		instance.apply(era, changes)
		instance.succeed(instance.cursor.ReadChanges(revision), true, 0)
	})
}

// readPeer asks the reader for its changes, which answers at the first one or when the time has come.
func (instance *instance) readPeer(reader *instanceProcess, until time.Time) {
	simulation := instance.simulation
	if simulation.Now.Before(instance.apartUntil) || simulation.Now.Before(reader.apartUntil) || !reader.offSince.IsZero() {
		instance.later(until.Add(PeerTimeout).Sub(simulation.Now), func() {
			instance.cursor.FailPeer(simulation.Now)
			instance.read()
		})
		return
	}
	serial := uint64(0)
	if instance.cursor.Peer().Process == reader.process {
		serial = instance.cursor.Peer().Serial
	}
	delta := reader.catalogue.Since(simulation.Now, serial)
	if delta.Serial == serial && simulation.Now.Before(until) {
		instance.later(pollPeriod, func() { instance.readPeer(reader, until) })
		return
	}
	reply := PeerReply{Peer: Peer{reader.process, delta.Serial}, Whole: serial == 0, Position: reader.published,
		Age: simulation.Now.Sub(reader.contact), SupportsPending: delta.SupportsPending}
	instance.later(simulation.draw(simulation.peerTime), func() {
		before := instance.cursor.Position().Era
		pause, err := instance.cursor.ReadPeer(simulation.Now, reply)
		if err != nil {
			instance.read()
			return
		}
		instance.checkEra(before)
		instance.catalogue.StoreAnswered(simulation.Now, reply.Age)
		instance.catalogue.Apply(simulation.Now, delta, reply.Whole, reply.Position)
		instance.succeed(pause, true, reply.Age)
	})
}

type instanceProcess = instance

// checkEra tells the catalogue that the store was restored.
func (instance *instance) checkEra(before uint64) {
	if instance.cursor.Position().Era > before && before > 0 {
		instance.catalogue.StoreRestored(instance.simulation.Now)
	}
}

// end handles a failed read of the store.
func (instance *instance) end(err error, before uint64) {
	if before > 0 {
		instance.checkEra(before)
	}
	pause, outage := instance.cursor.Fail(err)
	if outage {
		instance.catalogue.StoreFailed()
	}
	instance.later(pause, instance.read)
}

func (instance *instance) apply(era uint64, records []record) {
	for _, record := range records {
		position := Position{Era: era, Revision: record.revision}
		switch {
		case record.key == operator:
			instance.catalogue.Configure(catalogue.NewConfiguration(record.version, nil, nil, catalogue.Limits{}))
		case record.deleted:
			instance.catalogue.Remove(instance.simulation.Now, catalogue.Removal{ID: record.key, Position: position})
		default:
			target := record.target
			target.Position = position
			instance.catalogue.Register(target)
		}
	}
}

// succeed continues after a successful read and checks that the version of the configuration has not fallen.
func (instance *instance) succeed(pause time.Duration, contact bool, age time.Duration) {
	simulation := instance.simulation
	if contact {
		instance.published, instance.contact = instance.cursor.Position(), simulation.Now.Add(-age)
	}
	if configuration := instance.catalogue.Configuration(); configuration != nil {
		if configuration.Version < instance.version {
			simulation.fail("instance %d falls back from version %d to %d", instance.number, instance.version, configuration.Version)
		}
		instance.version = configuration.Version
	}
	instance.later(pause, instance.read)
}
