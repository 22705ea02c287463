/* Tells the story of one request from the log lines of all processes. */
#include <string.h>

#include "cli.h"

/* Lines kept at most: those that name a flow, of a few minutes. */
#define MAX_LINES 5000000
/* How far around a story its background is told. Lines that were left out
 * are told of up to three seconds later. */
#define AROUND_MS 3000

struct explain_settings {
    GString *query;
    GString *file;
};

static const struct rp_setting settings_table[] = {
    {.kind = RP_SETTING_TEXT,
     .offset = offsetof(struct explain_settings, query),
     .value = "FLOW|ID",
     .help = "caller>address, the caller alone, or a request's id"},
    {.kind = RP_SETTING_TEXT,
     .offset = offsetof(struct explain_settings, file),
     .value = "FILE",
     .help = "log lines; standard input if there is none",
     .optional = true},
};

/* One log line; the texts point into it. */
struct line {
    char *text;
    struct rp_str time;
    int64_t at_ms; /* of the day */
    struct rp_str role;
    struct rp_str name;
    struct rp_str event;
    struct rp_str flow;
    struct rp_str id;
    struct rp_str rest; /* what comes after the event */
};

/* What a request's lines showed; what is not here is told as missing. */
struct seen {
    bool routed;
    bool admitted;
    bool refused;
    bool reset;
    bool request;
    bool answer;
};

/* The value of key=value in a line; empty if it is not there. */
static struct rp_str
value_of(const char *text, const char *key)
{
    const char *found = strstr(text, key);

    if (!found) {
        return (struct rp_str){0};
    }
    found += strlen(key);
    return (struct rp_str){.data = found, .len = strcspn(found, " \n")};
}

/* Events that change what a process believes, or that tell of lines that are
 * not there: what stands beside a story. */
static bool
is_background(struct rp_str event)
{
    static const char *const names[] = {
        "lines_left_out", "started",
        "stopped",        "host_started",
        "host_state",     "edition_decided",
        "storage_failed", "upstream_lease_over"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (RpStr_Equal(event, RpStr_FromC(names[i]))) {
            return true;
        }
    }
    return false;
}

/* Milliseconds of the day of a time like 2026-01-06T03:17:32.282Z; 0 if it
 * reads otherwise. */
static int64_t
ms_of(struct rp_str time)
{
    unsigned hours;
    unsigned minutes;
    unsigned seconds;
    unsigned ms;

    if (time.len < 24 || sscanf(time.data + 11, "%2u:%2u:%2u.%3u", &hours,
                                &minutes, &seconds, &ms) != 4) {
        return 0;
    }
    return ((hours * 60 + minutes) * 60 + seconds) * INT64_C(1000) + ms;
}

/* Reads a line; something may stand before its time. */
static bool
parse_line(char *text, struct line *line)
{
    char *start = strstr(text, "time=");

    if (!start) {
        return false;
    }
    *line = (struct line){.text = text,
                          .time = value_of(start, "time="),
                          .role = value_of(start, " role="),
                          .name = value_of(start, " name="),
                          .event = value_of(start, " event="),
                          .flow = value_of(start, " flow="),
                          .id = value_of(start, " id=")};
    if (line->event.len == 0) {
        return false;
    }
    const char *after = line->event.data + line->event.len;
    line->rest = RpStr_Trim(RpStr_FromC(after));
    line->at_ms = ms_of(line->time);
    return line->flow.len > 0 || is_background(line->event);
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    const struct line *left = a;
    const struct line *right = b;
    size_t len = MIN(left->time.len, right->time.len);

    return memcmp(left->time.data, right->time.data, len);
}

static void
free_line(gpointer data)
{
    free(((struct line *)data)->text);
}

static GArray *
read_lines(FILE *in)
{
    GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct line));
    char *text = NULL;
    size_t room = 0;

    g_array_set_clear_func(lines, free_line);
    while (lines->len < MAX_LINES && getline(&text, &room, in) >= 0) {
        struct line line;
        if (parse_line(text, &line)) {
            g_array_append_val(lines, line);
            text = NULL;
            room = 0;
        }
    }
    free(text);
    g_array_sort(lines, compare_times);
    return lines;
}

static bool
starts_with_caller(struct rp_str flow, struct rp_str caller)
{
    return flow.len > caller.len && flow.data[caller.len] == '>' &&
           !memcmp(flow.data, caller.data, caller.len);
}

/* The flow that a query names, by itself or through a request's id. */
static struct rp_str
find_flow(const GArray *lines, struct rp_str query)
{
    for (guint i = 0; i < lines->len; i++) {
        const struct line *line = &g_array_index(lines, struct line, i);
        if (RpStr_Equal(line->flow, query) || RpStr_Equal(line->id, query) ||
            starts_with_caller(line->flow, query)) {
            return line->flow;
        }
    }
    return (struct rp_str){0};
}

static void
note(struct seen *seen, struct rp_str event)
{
    seen->routed |= RpStr_Equal(event, RP_STR("flow_routed"));
    seen->admitted |= RpStr_Equal(event, RP_STR("flow_admitted"));
    seen->refused |= RpStr_Equal(event, RP_STR("flow_refused")) ||
                     RpStr_Equal(event, RP_STR("flow_unrouted"));
    seen->reset |= RpStr_Equal(event, RP_STR("flow_reset"));
    seen->request |= RpStr_Equal(event, RP_STR("request_received"));
    seen->answer |= RpStr_Equal(event, RP_STR("answer_began"));
}

static void
print_line(const struct line *line)
{
    printf("%.*s  %.*s %.*s  %.*s  %.*s\n", (int)line->time.len,
           line->time.data, (int)line->role.len, line->role.data,
           (int)line->name.len, line->name.data, (int)line->event.len,
           line->event.data, (int)line->rest.len, line->rest.data);
}

/* Says what a whole story would have and this one has not. */
static void
print_missing(const struct seen *seen)
{
    if (!seen->routed && !seen->refused) {
        printf("missing: no balancer says that it routed the flow\n");
    }
    if (seen->routed && !seen->admitted && !seen->refused) {
        printf("missing: no agent says that it took or refused the flow; the "
               "one that it was sent to may be gone\n");
    }
    if (seen->admitted && !seen->request && !seen->reset) {
        printf("missing: no request came; the host or the caller did not "
               "finish opening the flow\n");
    }
    if (seen->request && !seen->answer && !seen->reset) {
        printf("missing: the host's answer; it, its agent or the instance may "
               "have failed meanwhile\n");
    }
}

/* Whether an instance of this name appears in the flow's story. */
static bool
takes_part(const GArray *lines, struct rp_str flow, struct rp_str name)
{
    for (guint i = 0; i < lines->len; i++) {
        const struct line *line = &g_array_index(lines, struct line, i);
        if (RpStr_Equal(line->flow, flow) && RpStr_Equal(line->name, name)) {
            return true;
        }
    }
    return false;
}

/* What the instances of the story came to believe around it, and which of
 * their lines were left out. */
static void
print_background(const GArray *lines, struct rp_str flow, int64_t from,
                 int64_t until)
{
    for (guint i = 0; i < lines->len; i++) {
        const struct line *line = &g_array_index(lines, struct line, i);
        if (line->flow.len == 0 && line->at_ms >= from - AROUND_MS &&
            line->at_ms <= until + AROUND_MS &&
            takes_part(lines, flow, line->name)) {
            printf("beside: ");
            print_line(line);
        }
    }
}

static int
tell(const GArray *lines, struct rp_str query)
{
    struct rp_str flow = find_flow(lines, query);
    struct seen seen = {0};
    int64_t from = -1;
    int64_t until = 0;

    if (flow.len == 0) {
        printf("no line names %.*s\n", (int)query.len, query.data);
        return RP_CLI_REFUSED;
    }
    printf("flow %.*s\n", (int)flow.len, flow.data);
    for (guint i = 0; i < lines->len; i++) {
        const struct line *line = &g_array_index(lines, struct line, i);
        if (!RpStr_Equal(line->flow, flow)) {
            continue;
        }
        print_line(line);
        note(&seen, line->event);
        from = from < 0 ? line->at_ms : from;
        until = line->at_ms;
    }
    print_missing(&seen);
    print_background(lines, flow, from, until);
    return RP_CLI_OK;
}

int
RpCli_Explain(int argc, char **argv)
{
    struct explain_settings settings = {0};
    int exit_code;

    if (!RpCli_ReadSettings(settings_table, G_N_ELEMENTS(settings_table),
                            "radishport explain",
                            "Reads log lines of all processes and tells what "
                            "happened to one request, in order, and what is "
                            "missing.",
                            argc, argv, &settings, &exit_code)) {
        return exit_code;
    }
    FILE *in = stdin;
    if (settings.file) {
        in = fopen(settings.file->str, "r");
        if (!in) {
            fprintf(stderr, "%s: cannot be read\n", settings.file->str);
            return RP_CLI_USAGE;
        }
    }
    GArray *lines = read_lines(in);
    exit_code = tell(lines, (struct rp_str){.data = settings.query->str,
                                            .len = settings.query->len});
    g_array_free(lines, TRUE);
    if (in != stdin) {
        fclose(in);
    }
    return exit_code;
}
