package admitter

import "github.com/eelgrassbeam/eelgrassbeam"

// UpstreamLoads returns the load of each upstream, including removed ones with requests in progress.
func (a *Admitter) UpstreamLoads() []eelgrassbeam.UpstreamLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	loads := make([]eelgrassbeam.UpstreamLoad, 0, len(a.upstreams.states))
	for _, u := range a.upstreams.states {
		loads = append(loads, eelgrassbeam.UpstreamLoad{ID: u.upstream.ID, Slots: u.bound(), InProgress: u.inProgress})
	}
	return loads
}
