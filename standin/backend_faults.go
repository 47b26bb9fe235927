package standin

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

// BackendFaults are the faults that a test injects into a Backend. A number is decremented each time its fault applies.
type BackendFaults struct {
	// Truncate is the number of responses to cut off after half of the body.
	Truncate int `json:"truncate,omitempty"`
	// Delay postpones each response after the request was executed and its slot released.
	Delay eelgrassbeam.Duration `json:"delay,omitzero"`
	// SwapResponses is the number of responses to send with another request's id and body.
	SwapResponses int `json:"cross,omitempty"`
	// Errors is the number of requests to answer with status 500 without executing them.
	Errors int `json:"errors,omitempty"`
	// Freeze accepts requests, probes and load queries and never answers them.
	Freeze bool `json:"freeze,omitempty"`
	// MisleadFull makes the load report show all slots in use.
	MisleadFull bool `json:"mislead_full,omitempty"`
	// Draining sets Leaving in load reports and rejects requests, but not probes.
	Draining bool `json:"draining,omitempty"`
	// RunThenClose is the number of requests to execute and then abort without a response.
	RunThenClose int `json:"run_then_close,omitempty"`
	// Endless executes each request and then sends bytes without end until the client closes the connection.
	Endless EndlessPart `json:"endless,omitempty"`
}

// EndlessPart is the part of a response that never ends.
type EndlessPart string

// The parts. EndlessFields is a header of short fields, each with a name of its own, that grows by one every trickleInterval
// once it is large, and EndlessTrickle a body that grows by one byte.
const (
	EndlessHeader  EndlessPart = "header"
	EndlessFields  EndlessPart = "fields"
	EndlessChunks  EndlessPart = "chunks"
	EndlessBody    EndlessPart = "body"
	EndlessTrickle EndlessPart = "trickle"
)

const (
	trickleInterval = 10 * time.Millisecond
	// endlessBlockBytes is about the number of bytes that an endless response sends at once.
	endlessBlockBytes = 64 << 10
	// endlessFieldsBytes is the size of the fields that EndlessFields sends at once.
	endlessFieldsBytes = 200 << 10
)

// sendEndlessly sends the start of a response and then more of the part until the client closes the connection.
func (b *Backend) sendEndlessly(w http.ResponseWriter, r *http.Request, part EndlessPart) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	start, unit := "HTTP/1.1 200 OK\r\n"+HeaderRequestID+": "+r.Header.Get(HeaderRequestID)+"\r\n", "endless"
	start += platform.HeaderServerStamp + ": " + string(b.config.ID) + "\r\n"
	switch part {
	case EndlessHeader:
		unit = "X-Endless: endless\r\n"
	case EndlessFields:
		start += shortFields(endlessFieldsBytes)
		unit = "X:\r\n"
	case EndlessChunks:
		start, unit = start+"Transfer-Encoding: chunked\r\n\r\n", "7\r\nendless\r\n"
	default:
		start += "\r\n"
	}
	block, pause := strings.Repeat(unit, 1+endlessBlockBytes/len(unit)), time.Duration(0)
	switch part {
	case EndlessTrickle:
		block, pause = "e", trickleInterval
	case EndlessFields:
		block, pause = unit, trickleInterval
	}
	_, err = io.WriteString(conn, start)
	for err == nil {
		if pause > 0 {
			<-b.clock.After(pause)
		}
		_, err = io.WriteString(conn, block)
	}
}

// shortFields returns empty fields of different names, of about the size in all.
func shortFields(size int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < size; i++ {
		fields.WriteString("f" + strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return fields.String()
}

// faultSet holds the active faults.
type faultSet struct {
	mu     sync.Mutex
	faults BackendFaults
}

func (f *faultSet) current() BackendFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultSet) set(faults BackendFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// consume decrements a counted fault and reports whether it applies.
func (f *faultSet) consume(pick func(*BackendFaults) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := pick(&f.faults)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

func (b *Backend) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.faults.current())
}

func (b *Backend) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults BackendFaults
	if !readJSON(w, r, maxControlBodyBytes, &faults) {
		return
	}
	b.faults.set(faults)
	w.WriteHeader(http.StatusNoContent)
}
