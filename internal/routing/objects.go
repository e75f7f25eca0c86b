package routing

// The object table: what the director knows about recently requested objects and documents.
//
// It decides which records stay in the table. It applies on every request, and once per period when idle records are dropped.
// It guards against clients that invent objects or segments: the numbers of objects, of documents and of documents per object
// are bounded, and so is the memory of all records together (recordmemory.go).

import (
	"iter"
	"slices"
	"time"
)

const (
	copyPresumedFor       = 8 * time.Second  // a copy that was found is assumed to remain in the cache for this long
	objectIdleLimit       = 20 * time.Second // an object or document that was not requested for this long is dropped
	orderIdleLimit        = time.Second      // the order of a document that was not requested for this long is dropped
	noOrder               = -1               // orderVersion of a document without an order
	maxObjects            = 8192             // objects in the table; enough for minutes of requests
	maxDocumentsPerObject = 512              // documents of one object
	maxDocuments          = 4 * maxObjects   // documents of all objects together
)

// object is the record of one object. An object in segments has one document per segment.
type object struct {
	id                 uint64
	requests           int           // requests so far
	requestsWhenQueued int           // value of requests when it was last moved to the end of evictionQueue
	lastRequest        time.Duration // time of the newest request
	sendTime           time.Duration // smoothed time to send one of its documents; 0: unknown
	documents          map[uint32]*document
	documentList       []*document // the values of documents, oldest first
}

// cachedCopy is a copy of a document that was found at a cache.
type cachedCopy struct {
	endpoint *endpoint
	seenAt   time.Duration // start of the attempt that found or created the copy
}

// document is the unit of requests, fills and caching: a whole object, or one segment of an object in segments.
type document struct {
	key          uint64 // DocumentKey, the same at all directors
	segment      uint32 // within its object
	requests     Ring   // requests within HotWindow
	lastRequest  time.Duration
	order        []*endpoint    // the location's caches in order of preference, home first; see preferenceOrder
	orderVersion int            // endpointVersion from which order was computed, or noOrder
	spread       []spreadShare  // shares of caches other than the home; the home has the rest
	filling      *attempt       // attempt that is filling it; nil: none
	waiters      []*openRequest // requests that wait for that fill, in the order in which they were queued
	copies       []cachedCopy   // copies that were found, at most one per cache
	sendTime     time.Duration  // computed from its bytes, else the shortest measured time; 0: unknown
	inTable      bool           // in the table; a request may hold a document that was dropped
	countedBytes int64          // what recordMemory counts for it
}

// objectStore holds the records of all objects.
type objectStore struct {
	objects       map[uint64]*object
	evictionQueue []*object // the values of objects in the order in which they were queued
	documentCount int       // documents of all objects
	memory        recordMemory
}

// newObjectStore returns a store without records that holds at most maxBytes; 0: no bound but those on the numbers of records.
func newObjectStore(maxBytes int64) objectStore {
	return objectStore{objects: map[uint64]*object{}, memory: recordMemory{maxBytes: maxBytes}}
}

// object returns the record of an object and creates it if there is none. If the table is full, other objects are evicted.
func (store *objectStore) object(id uint64) *object {
	record := store.objects[id]
	if record == nil {
		record = &object{id: id, requestsWhenQueued: 1, documents: map[uint32]*document{}}
		if len(store.evictionQueue) >= maxObjects {
			store.evictOldest(nil)
		}
		store.objects[id], store.evictionQueue = record, append(store.evictionQueue, record)
		store.memory.bytes += objectBytes
	}
	return record
}

// document returns the record of a document and creates it if there is none. If the object already has maxDocumentsPerObject
// documents, they are all dropped first. If all objects together have maxDocuments, other objects are evicted.
func (store *objectStore) document(owner *object, segment uint32, inSegments bool) *document {
	if known := owner.documents[segment]; known != nil {
		return known
	}
	if len(owner.documents) >= maxDocumentsPerObject {
		store.dropDocuments(owner)
	}
	for store.documentCount >= maxDocuments && len(store.evictionQueue) > 1 {
		store.evictOldest(owner)
	}
	added := &document{
		key:          DocumentKey(owner.id, segment, inSegments),
		segment:      segment,
		orderVersion: noOrder,
		requests:     NewRing(loadBucketWidth, 2*loadBuckets),
		inTable:      true,
	}
	owner.documents[segment] = added
	owner.documentList = append(owner.documentList, added)
	store.documentCount++
	store.memory.recount(added)
	return added
}

// dropDocuments drops all documents of an object.
func (store *objectStore) dropDocuments(owner *object) {
	for _, doc := range owner.documentList {
		store.forget(doc)
	}
	clear(owner.documents)
	owner.documentList = nil
}

// forget updates the counts for a document that leaves the table.
func (store *objectStore) forget(doc *document) {
	store.documentCount--
	store.memory.release(doc)
}

// evictExcess evicts objects other than the given one while the records take more memory than they may.
func (store *objectStore) evictExcess(except *object) {
	for store.memory.isOver() && len(store.evictionQueue) > 1 {
		store.evictOldest(except)
	}
}

// evictOldest evicts the first object in the queue that was not requested again since it was queued, but never the object
// except. An object that was requested again moves to the end of the queue (second chance), so that a stream of objects
// requested only once does not evict hot objects.
func (store *objectStore) evictOldest(except *object) {
	for {
		oldest := store.evictionQueue[0]
		store.evictionQueue[0] = nil // the array must not hold the records of an evicted object
		store.evictionQueue = store.evictionQueue[1:]
		if oldest != except && oldest.requests <= oldest.requestsWhenQueued {
			store.remove(oldest)
			return
		}
		oldest.requestsWhenQueued = oldest.requests
		store.evictionQueue = append(store.evictionQueue, oldest)
	}
}

// remove drops the records of an object and its documents, but not its entry in evictionQueue.
func (store *objectStore) remove(record *object) {
	delete(store.objects, record.id)
	store.memory.bytes -= objectBytes
	for _, doc := range record.documentList {
		store.forget(doc)
	}
}

// expire drops the objects and documents that were not requested within objectIdleLimit. An object that is still requested
// loses its idle documents, because a broadcast continues for hours with ever new segments.
func (store *objectStore) expire(now time.Duration) {
	store.evictionQueue = slices.DeleteFunc(store.evictionQueue, func(record *object) bool {
		store.expireDocuments(now, record)
		idle := now-record.lastRequest > objectIdleLimit
		if idle {
			store.remove(record)
		}
		return idle
	})
}

// expireDocuments drops the documents of an object that were not requested within objectIdleLimit, and the orders of those that
// were not requested within orderIdleLimit.
func (store *objectStore) expireDocuments(now time.Duration, owner *object) {
	owner.documentList = slices.DeleteFunc(owner.documentList, func(doc *document) bool {
		idleFor := now - doc.lastRequest
		if idleFor > objectIdleLimit {
			delete(owner.documents, doc.segment)
			store.forget(doc)
			return true
		}
		if idleFor > orderIdleLimit && doc.order != nil {
			doc.dropOrder()
			store.memory.recount(doc)
		}
		return false
	})
}

// dropOrder drops the order of a document, which preferenceOrder computes again when it is needed.
func (doc *document) dropOrder() { doc.order, doc.orderVersion = nil, noOrder }

// allDocuments iterates over the documents of all objects in the order of the table.
func (store *objectStore) allDocuments() iter.Seq[*document] {
	return func(yield func(*document) bool) {
		for _, record := range store.evictionQueue {
			for _, doc := range record.documentList {
				if !yield(doc) {
					return
				}
			}
		}
	}
}

// updateCopies updates the known copies of a document after an outcome from a cache. present and absent state whether the cache
// is known to have a copy or to have none. It also drops the copies at endpoints that are not ready.
func (doc *document) updateCopies(cache *endpoint, present, absent bool, seenAt time.Duration) {
	doc.copies = slices.DeleteFunc(doc.copies, func(known cachedCopy) bool {
		return known.endpoint == cache && (present || absent) || !known.endpoint.ready
	})
	if present {
		doc.copies = append(doc.copies, cachedCopy{cache, seenAt})
	}
}

// probablyCached reports whether a cache very probably has a usable copy of the document.
func (d *Director) probablyCached(now time.Duration, request *openRequest, cache *endpoint) bool {
	for _, known := range request.document.copies {
		if known.endpoint == cache {
			return d.probablyUsable(now, request, known)
		}
	}
	return false
}

// probablyUsable reports whether a copy is very probably still in its cache and may be served: it was found within
// copyPresumedFor, is fresh, and neither a purge nor a restart of the cache has happened since.
func (d *Director) probablyUsable(now time.Duration, request *openRequest, known cachedCopy) bool {
	age, freshFor := now-known.seenAt, request.class.FreshFor
	switch {
	case age >= copyPresumedFor:
		return false
	case freshFor > 0 && age >= freshFor:
		return false
	case known.seenAt < known.endpoint.emptySince:
		return false
	}
	return known.seenAt > d.lastPurge(request)
}

// cachedElsewhere reports whether a cache other than the given one probably has the document.
func (d *Director) cachedElsewhere(now time.Duration, request *openRequest, cache *endpoint) bool {
	return slices.ContainsFunc(request.document.copies, func(known cachedCopy) bool {
		return known.endpoint != cache && d.probablyCached(now, request, known.endpoint)
	})
}
