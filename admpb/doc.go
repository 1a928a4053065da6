// Package admpb is the generated code of the administration API.
package admpb
