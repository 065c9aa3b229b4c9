// Package structs defines the types that several packages share. It imports no other
// package of the project.
package structs
