// Package holder implements admission control and scheduling for one target. For each offered sub-request it
// decides whether the target runs it now, whether it waits in a queue, or whether it is refused. Sub-requests come from
// entries; an entry is the part of an instance that receives the requests of callers.
package holder
