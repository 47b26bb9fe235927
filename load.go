package eelgrassbeam

// UpstreamLoad is the work in progress at one upstream, as its dispatcher counts it.
type UpstreamLoad struct {
	ID UpstreamID `json:"id"`
	// Slots bound the requests in progress now; they are fewer than configured while the upstream is cold or out of use.
	Slots      int `json:"slots"`
	InProgress int `json:"in_progress"`
}

// SiteReport is the load of one site with that of its upstreams.
type SiteReport struct {
	Site      Site           `json:"site"`
	Load      SiteLoad       `json:"load"`
	Upstreams []UpstreamLoad `json:"upstreams,omitempty"`
}

// LoadReport holds the sites that one entry dispatches for.
type LoadReport struct {
	Sites []SiteReport `json:"sites,omitempty"`
}
