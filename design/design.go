// Package design describes the HTTP interfaces to callers and operators; goa generates gen from it.
package design

import (
	// The DSL is written with dot imports by goa's convention.
	. "goa.design/goa/v3/dsl" //nolint:staticcheck
)

var _ = API("eelgrassbeam", func() {
	Title("Global traffic steering")
	Description("Look-ups for callers; configuration, status and decisions for operators.")
	Version("1")
	Server("entry", func() {
		Description("The callers' listener of an entry.")
		Services("lookup")
		Host("instance", func() { URI("http://127.0.0.1:8080") })
	})
	Server("operators", func() {
		Description("The operators' listener of an entry.")
		Services("operator")
		Host("instance", func() { URI("http://127.0.0.1:8082") })
	})
})

// document adds an attribute that carries JSON whose domain type checks itself.
func document(name, description string) {
	Attribute(name, Any, description, func() {
		Meta("struct:field:type", "json.RawMessage", "encoding/json")
	})
}

// documentResult describes the result of a method that answers with one JSON document.
func documentResult(description string) {
	Result(func() {
		document("document", description)
		Required("document")
	})
}

// documentResponse makes the document the whole response body.
func documentResponse() {
	Response(StatusOK, func() { Body("document") })
}
