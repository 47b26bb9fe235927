// Package standin holds small stand-ins for the platform and for backend servers, for tests and demonstrations only.
package standin
