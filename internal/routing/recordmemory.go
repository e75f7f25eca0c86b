package routing

// This file counts the memory of the records of objects and documents.

// Estimates of the memory of a record, in bytes, with its part of the maps and lists that hold it.
const (
	objectBytes   = 480
	documentBytes = 384 // without its lists of caches
	pointerBytes  = 8   // an entry of document.order
	shareBytes    = 16  // an entry of document.spread
	copyBytes     = 16  // an entry of document.copies
)

// recordMemory counts the memory of the records in the object table.
type recordMemory struct {
	maxBytes int64 // 0: no bound
	bytes    int64
}

// isOver reports whether the records take more memory than they may.
func (memory *recordMemory) isOver() bool {
	return memory.maxBytes > 0 && memory.bytes > memory.maxBytes
}

// recount updates the count after the lists of a document have changed. It ignores a document that has left the table.
func (memory *recordMemory) recount(doc *document) {
	if doc.inTable {
		held := doc.heldBytes()
		memory.bytes += held - doc.countedBytes
		doc.countedBytes = held
	}
}

// release removes a document that leaves the table from the count.
func (memory *recordMemory) release(doc *document) {
	memory.bytes -= doc.countedBytes
	doc.inTable, doc.countedBytes = false, 0
}

// heldBytes estimates the memory of a document's record.
func (doc *document) heldBytes() int64 {
	lists := pointerBytes*cap(doc.order) + shareBytes*cap(doc.spread) + copyBytes*cap(doc.copies)
	return documentBytes + int64(lists)
}
