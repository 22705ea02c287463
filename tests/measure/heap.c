/* The event queue: a binary heap ordered by time, then by insertion. */
#include "heap.h"

#include <glib.h>

#define FIRST_CAPACITY 1024

static bool
is_earlier(const struct event *a, const struct event *b)
{
    return a->time < b->time || (a->time == b->time && a->order < b->order);
}

void
heap_push(struct heap *heap, int64_t time, int kind, uint32_t subject,
          uint32_t detail)
{
    if (heap->count == heap->capacity) {
        heap->capacity = heap->capacity ? heap->capacity * 2 : FIRST_CAPACITY;
        heap->events = g_renew(struct event, heap->events, heap->capacity);
    }
    struct event event = {.time = time,
                          .order = heap->next_order++,
                          .kind = kind,
                          .subject = subject,
                          .detail = detail};
    size_t index = heap->count++;
    while (index > 0 && is_earlier(&event, &heap->events[(index - 1) / 2])) {
        heap->events[index] = heap->events[(index - 1) / 2];
        index = (index - 1) / 2;
    }
    heap->events[index] = event;
}

bool
heap_pop(struct heap *heap, struct event *event)
{
    if (heap->count == 0) {
        return false;
    }
    *event = heap->events[0];
    struct event last = heap->events[--heap->count];
    size_t index = 0;
    for (;;) {
        size_t child = index * 2 + 1;
        if (child >= heap->count) {
            break;
        }
        if (child + 1 < heap->count &&
            is_earlier(&heap->events[child + 1], &heap->events[child])) {
            child++;
        }
        if (!is_earlier(&heap->events[child], &last)) {
            break;
        }
        heap->events[index] = heap->events[child];
        index = child;
    }
    heap->events[index] = last;
    return true;
}

void
heap_clear(struct heap *heap)
{
    g_free(heap->events);
    *heap = (struct heap){0};
}
