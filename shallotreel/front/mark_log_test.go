package front

import (
	"bytes"
	"regexp"
	"slices"
	"sync"
)

var (
	fingerprintField = regexp.MustCompile(`fingerprint=([0-9a-f]{16})`)
	harmlessRefusal  = regexp.MustCompile(`msg="request refused by its mark".* request=harmless-`)
)

// markLog keeps the log lines of all instances that name the fingerprint of a request. It is safe for concurrent use.
type markLog struct {
	mutex sync.Mutex
	lines []string
}

// Write implements io.Writer for whole lines.
func (log *markLog) Write(line []byte) (int, error) {
	if fingerprintField.Match(line) {
		log.mutex.Lock()
		defer log.mutex.Unlock()
		log.lines = append(log.lines, string(bytes.TrimSpace(line)))
	}
	return len(line), nil
}

// harmlessMarks returns the lines of the fingerprints under which a harmless request was refused.
func (log *markLog) harmlessMarks() []string {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	refused := map[string]bool{}
	for _, line := range log.lines {
		if harmlessRefusal.MatchString(line) {
			refused[fingerprintField.FindString(line)] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(log.lines), func(line string) bool { return !refused[fingerprintField.FindString(line)] })
}
