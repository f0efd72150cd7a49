// Package span holds a length of time that people write as "1.5s" in files and JSON.
package duration
