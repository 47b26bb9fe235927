package recorder

import (
	"github.com/eelgrassbeam/eelgrassbeam"
)

// settle starts the record's window. The caller holds the lock.
func (r *Recorder) settle(id eelgrassbeam.RequestID, found *record) {
	found.settled = r.now
	r.settled = append(r.settled, settlement{id: id, at: r.now})
}

// keep stores the reply and drops the oldest ones above the bound. The caller holds the lock.
func (r *Recorder) keep(id eelgrassbeam.RequestID, found *record, reply eelgrassbeam.Reply) {
	found.reply, found.bytes = &reply, reply.Size()
	if found.bytes == 0 {
		return
	}
	r.bytes += found.bytes
	r.kept = append(r.kept, settlement{id: id, at: found.settled})
	for r.bytes > r.config.ReplyBytes {
		oldest := r.kept[0]
		r.kept = r.kept[1:]
		if other, ok := r.records[oldest.id]; ok && other.settled == oldest.at {
			r.drop(other)
		}
	}
	r.metrics.replyBytes.Set(float64(r.bytes))
}

// drop forgets the reply. The caller holds the lock.
func (r *Recorder) drop(found *record) {
	r.bytes -= found.bytes
	found.reply, found.bytes = nil, 0
}

// sweep moves the recorder's time on, at most by maxStep, and removes what has left the window.
func (r *Recorder) sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock.Now()
	r.now += min(now.Sub(r.swept), maxStep)
	r.swept = now
	keep := r.config.Window + r.config.CancelTimeout
	for len(r.settled) > 0 && r.now-r.settled[0].at > keep {
		r.expire(r.settled[0])
		r.settled = r.settled[1:]
	}
	for len(r.kept) > 0 && r.now-r.kept[0].at > keep {
		r.kept = r.kept[1:]
	}
	r.metrics.records.Set(float64(len(r.records)))
	r.metrics.replyBytes.Set(float64(r.bytes))
}

func (r *Recorder) expire(due settlement) {
	found, ok := r.records[due.id]
	if !ok || found.settled != due.at || found.state == StateReceived || found.state == StateStarted {
		return
	}
	r.drop(found)
	delete(r.records, due.id)
}
