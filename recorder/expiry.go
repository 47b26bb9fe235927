package recorder

import (
	"github.com/eelgrassbeam/eelgrassbeam"
)

// markSettled starts the expiry period of the record. The caller holds the mutex.
func (r *Recorder) markSettled(id eelgrassbeam.RequestID, found *record) {
	found.settledAt = r.now
	r.settled = append(r.settled, settledRecord{id: id, at: r.now})
}

// storeReply stores the reply and evicts the oldest ones above ReplyBytes. The caller holds the mutex.
func (r *Recorder) storeReply(id eelgrassbeam.RequestID, found *record, reply eelgrassbeam.Reply) {
	found.reply, found.bytes = &reply, reply.Size()
	if found.bytes == 0 {
		return
	}
	r.bytes += found.bytes
	r.replies = append(r.replies, settledRecord{id: id, at: found.settledAt})
	for r.bytes > r.config.ReplyBytes {
		oldest := r.replies[0]
		r.replies = r.replies[1:]
		if other, ok := r.records[oldest.id]; ok && other.settledAt == oldest.at {
			r.dropReply(other)
		}
	}
	r.metrics.replyBytes.Set(float64(r.bytes))
}

// dropReply removes the reply but keeps the record. The caller holds the mutex.
func (r *Recorder) dropReply(found *record) {
	r.bytes -= found.bytes
	found.reply, found.bytes = nil, 0
}

// advance moves the recorder's clock forward, by at most maxClockStep, and removes expired records.
func (r *Recorder) advance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock.Now()
	r.now += min(now.Sub(r.lastSweep), maxClockStep)
	r.lastSweep = now
	keep := r.config.Window + r.config.CancelTimeout
	for len(r.settled) > 0 && r.now-r.settled[0].at > keep {
		r.expire(r.settled[0])
		r.settled = r.settled[1:]
	}
	for len(r.replies) > 0 && r.now-r.replies[0].at > keep {
		r.replies = r.replies[1:]
	}
	r.metrics.records.Set(float64(len(r.records)))
	r.metrics.replyBytes.Set(float64(r.bytes))
}

func (r *Recorder) expire(oldest settledRecord) {
	found, ok := r.records[oldest.id]
	if !ok || found.settledAt != oldest.at || found.state == StateReceived || found.state == StateStarted {
		return
	}
	r.dropReply(found)
	delete(r.records, oldest.id)
}
