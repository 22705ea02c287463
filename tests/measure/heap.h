/* A priority queue of timed events for models in virtual time. Events with the
 * same time leave in the order of insertion. */
#ifndef HEAP_H
#define HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event {
    int64_t time;
    uint64_t order; /* insertion order */
    int kind;
    uint32_t subject; /* request index */
    uint32_t detail;  /* host index */
};

struct heap {
    struct event *events;
    size_t count;
    size_t capacity;
    uint64_t next_order;
};

/* Adds an event. `kind`, `subject` and `detail` are the model's. */
void heap_push(struct heap *heap, int64_t time, int kind, uint32_t subject,
               uint32_t detail);

/* Removes the earliest event. Returns false if the heap is empty. */
bool heap_pop(struct heap *heap, struct event *event);

/* Frees the events and leaves an empty heap. */
void heap_clear(struct heap *heap);

#endif
