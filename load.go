package eelgrassbeam

// UpstreamLoad is the load of one upstream as counted by its dispatcher.
type UpstreamLoad struct {
	ID UpstreamID `json:"id"`
	// Slots is the current limit of requests in progress. It is below the configured limit during slow start, after
	// failed or slow requests, and while an ejected upstream is probed. It is 0 for an upstream that gets no new
	// requests.
	Slots      int `json:"slots"`
	InProgress int `json:"in_progress"`
}

// SiteReport is the load of one site and of its upstreams.
type SiteReport struct {
	Site      Site           `json:"site"`
	Load      SiteLoad       `json:"load"`
	Upstreams []UpstreamLoad `json:"upstreams,omitempty"`
}

// LoadReport holds the load of the sites that one entry dispatches for.
type LoadReport struct {
	Sites []SiteReport `json:"sites,omitempty"`
}
