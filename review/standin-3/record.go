package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// sent is one attempt of a client.
type sent struct {
	at       time.Time
	instance string
	route    string
	status   int // 0 without an answer
	body     string
	stamp    string
	err      string
}

// arrival is a request that reached a server.
type arrival struct {
	id, server, service string
	at                  time.Time
}

// record is what clients sent and were answered, and what reached servers.
type record struct {
	mutex    sync.Mutex
	begun    time.Time
	sent     map[string]*sent
	arrivals []arrival
	notes    []note
}

type note struct {
	at   time.Time
	text string
}

func newRecord() *record { return &record{begun: time.Now(), sent: map[string]*sent{}} }

func (record *record) note(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	text := fmt.Sprintf(format, values...)
	record.notes = append(record.notes, note{time.Now(), text})
	fmt.Printf("%8.3f s  %s\n", time.Since(record.begun).Seconds(), text)
}

func (record *record) arrived(server *server, id string) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.arrivals = append(record.arrivals, arrival{id, server.id, server.service, time.Now()})
}

// snapshot returns copies of what was recorded.
func (record *record) snapshot() (map[string]sent, []arrival) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	attempts := map[string]sent{}
	for id, attempt := range record.sent {
		attempts[id] = *attempt
	}
	return attempts, append([]arrival(nil), record.arrivals...)
}

// write writes everything in the order of time to the file.
func (record *record) write(path string) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for id, attempt := range record.sent {
		lines = append(lines, line{attempt.at, fmt.Sprintf("request %s sent to %s: status %d %s", id, attempt.instance, attempt.status, attempt.err)})
	}
	for _, arrival := range record.arrivals {
		lines = append(lines, line{arrival.at, fmt.Sprintf("request %s reaches server %s of %s", arrival.id, arrival.server, arrival.service)})
	}
	for _, note := range record.notes {
		lines = append(lines, line{note.at, "-- " + note.text})
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	file, err := os.Create(path)
	if err != nil {
		panic(err)
	}
	defer file.Close()
	writer := bufio.NewWriter(file)
	defer writer.Flush()
	for _, line := range lines {
		fmt.Fprintf(writer, "%8.3f s  %s\n", line.at.Sub(record.begun).Seconds(), line.text)
	}
}
