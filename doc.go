// Package eelgrassbeam holds the domain types of a global traffic steering
// system and the interfaces of the behaviour that varies. Implementations live
// in the packages below it.
package eelgrassbeam
