// Package standin provides in-memory stand-ins for the platform and for backend servers, for tests and demonstrations.
package standin
