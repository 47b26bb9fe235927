package admitter

import "time"

// meanGain is the weight of a new sample in a mean.
const meanGain = 0.1

// mean is an exponentially weighted moving average of durations; zero before the first sample.
type mean struct{ value time.Duration }

func (m *mean) add(sample time.Duration) {
	if m.value == 0 {
		m.value = sample
		return
	}
	m.value += time.Duration(meanGain * float64(sample-m.value))
}
