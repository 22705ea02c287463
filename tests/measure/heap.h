/* A queue of timed events for models in virtual time. Events of the same
 * time come out in the order in which they went in. */
#ifndef HEAP_H
#define HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event {
    int64_t time;
    uint64_t order;
    int kind;
    uint32_t subject;
    uint32_t detail;
};

struct heap {
    struct event *events;
    size_t count;
    size_t room;
    uint64_t next_order;
};

void heap_push(struct heap *heap, int64_t time, int kind, uint32_t subject,
               uint32_t detail);
bool heap_pop(struct heap *heap, struct event *event);
void heap_clear(struct heap *heap);

#endif
