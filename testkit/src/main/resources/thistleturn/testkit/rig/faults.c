/*
 * A library for LD_PRELOAD that makes system calls of one process fail with errors that Linux documents, by rules from the
 * environment. For tests only: a courier under test is started with it, and no other process is affected.
 *
 * FAULTS: rules separated by ';', each the name of a call followed by fields separated by ',':
 *   accept socket connect recv send epoll_ctl   calls on sockets
 *   write open rename truncate read             calls on files below FAULTS_FOLDER
 *   errno=N          the error reported (default EIO); errno=A/B: one of two at random
 *   nth=N            the N-th matching call fails, and with count=M the M-1 after it (0: all after it)
 *   share=P          each call fails with that probability
 *   period=MS,for=MS calls fail for that time in each period, counted from the start of the process; from=MS: not before
 *   how=none|half|whole|short   what a failing write has written: nothing, half, all; short: half, returned as a short count
 * A rule fails a call where all its conditions hold. FAULTS_SEED makes random choices repeatable.
 * WALL_STEPS: "MS:SHIFT_MS" separated by ',': from MS after the start the wall clock is shifted by SHIFT_MS.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define MAX_RULES 16
#define MAX_STEPS 16

enum how { NONE, HALF, WHOLE, SHORT };

struct rule {
    char call[16];
    int errors[2];
    long nth, count, from_ms, period_ms, for_ms;
    double share;
    enum how how;
    long seen;
};

static struct rule rules[MAX_RULES];
static int rule_count;
static long steps[MAX_STEPS][2];
static int step_count;
static char folder[4096];
static struct timespec started;
static unsigned int seed;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int (*real_clock)(clockid_t, struct timespec *);

#define REAL(name) ((__typeof__(&name)) dlsym(RTLD_NEXT, #name))

static void read_rule(char *text) {
    struct rule *rule = &rules[rule_count];
    char *rest = NULL;
    char *field = strtok_r(text, ",", &rest);
    if (field == NULL || rule_count == MAX_RULES) {
        return;
    }
    snprintf(rule->call, sizeof rule->call, "%s", field);
    rule->errors[0] = rule->errors[1] = EIO;
    rule->count = 1;
    rule->share = 1;
    while ((field = strtok_r(NULL, ",", &rest)) != NULL) {
        char *value = strchr(field, '=');
        if (value == NULL) {
            continue;
        }
        *value++ = 0;
        if (!strcmp(field, "errno")) {
            char *second = strchr(value, '/');
            rule->errors[0] = atoi(value);
            rule->errors[1] = second ? atoi(second + 1) : rule->errors[0];
        } else if (!strcmp(field, "nth")) rule->nth = atol(value);
        else if (!strcmp(field, "count")) rule->count = atol(value);
        else if (!strcmp(field, "share")) rule->share = atof(value);
        else if (!strcmp(field, "from")) rule->from_ms = atol(value);
        else if (!strcmp(field, "period")) rule->period_ms = atol(value);
        else if (!strcmp(field, "for")) rule->for_ms = atol(value);
        else if (!strcmp(field, "how")) rule->how = !strcmp(value, "half") ? HALF : !strcmp(value, "whole") ? WHOLE
                : !strcmp(value, "short") ? SHORT : NONE;
    }
    rule_count++;
}

__attribute__((constructor)) static void read_rules(void) {
    real_clock = REAL(clock_gettime);
    real_clock(CLOCK_MONOTONIC, &started);
    const char *text = getenv("FAULTS");
    const char *under = getenv("FAULTS_FOLDER");
    const char *chance = getenv("FAULTS_SEED");
    const char *wall = getenv("WALL_STEPS");
    seed = chance ? (unsigned int) atol(chance) : 1;
    snprintf(folder, sizeof folder, "%s", under ? under : "/nowhere");
    char *rest = NULL;
    for (char *one = text ? strtok_r(strdup(text), ";", &rest) : NULL; one; one = strtok_r(NULL, ";", &rest)) {
        read_rule(one);
    }
    for (char *one = wall ? strtok_r(strdup(wall), ",", &rest) : NULL; one && step_count < MAX_STEPS;
            one = strtok_r(NULL, ",", &rest)) {
        if (sscanf(one, "%ld:%ld", &steps[step_count][0], &steps[step_count][1]) == 2) {
            step_count++;
        }
    }
}

static long since_start_ms(void) {
    struct timespec now;
    real_clock(CLOCK_MONOTONIC, &now);
    return (now.tv_sec - started.tv_sec) * 1000 + (now.tv_nsec - started.tv_nsec) / 1000000;
}

/* Returns the error with which this call fails, or 0; sets how to what the call has done before. */
static int fails(const char *call, enum how *how) {
    int error = 0;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < rule_count && error == 0; i++) {
        struct rule *rule = &rules[i];
        if (strcmp(rule->call, call)) {
            continue;
        }
        long ms = since_start_ms();
        rule->seen++;
        int hit = ms >= rule->from_ms;
        if (rule->period_ms > 0) {
            hit = hit && (ms - rule->from_ms) % rule->period_ms < rule->for_ms;
        } else if (rule->for_ms > 0) {
            hit = hit && ms - rule->from_ms < rule->for_ms;
        }
        if (rule->nth > 0) {
            hit = hit && rule->seen >= rule->nth && (rule->count == 0 || rule->seen < rule->nth + rule->count);
        }
        if (hit && rule->share < 1) {
            hit = rand_r(&seed) < rule->share * RAND_MAX;
        }
        if (hit) {
            error = rule->errors[rand_r(&seed) & 1];
            if (how) *how = rule->how;
        }
    }
    pthread_mutex_unlock(&lock);
    return error;
}

static int has_rule(const char *call) {
    for (int i = 0; i < rule_count; i++) {
        if (!strcmp(rules[i].call, call)) {
            return 1;
        }
    }
    return 0;
}

static int is_below(const char *path) {
    return !strncmp(path, folder, strlen(folder));
}

static int is_in_folder(int fd) {
    char link[64], path[4096];
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length < 0) {
        return 0;
    }
    path[length] = 0;
    return is_below(path);
}

static int is_socket(int fd) {
    int kind;
    socklen_t length = sizeof kind;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &kind, &length) == 0;
}

#define FAIL_IF(call) do { int error_ = fails(call, NULL); if (error_) { errno = error_; return -1; } } while (0)

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    FAIL_IF("accept");
    return REAL(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    FAIL_IF("accept");
    return REAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    FAIL_IF("socket");
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    FAIL_IF("connect");
    return REAL(connect)(fd, address, length);
}

int epoll_ctl(int epfd, int op, int fd, struct epoll_event *event) {
    FAIL_IF("epoll_ctl");
    return REAL(epoll_ctl)(epfd, op, fd, event);
}

ssize_t pwrite64(int fd, const void *bytes, size_t count, off64_t at) {
    enum how how = NONE;
    if (has_rule("write") && is_in_folder(fd)) {
        int error = fails("write", &how);
        if (error) {
            ssize_t done = how == NONE ? 0 : REAL(pwrite64)(fd, bytes, how == WHOLE ? count : count / 2, at);
            if (how == SHORT && done > 0) {
                return done;
            }
            errno = error;
            return -1;
        }
    }
    return REAL(pwrite64)(fd, bytes, count, at);
}

ssize_t write(int fd, const void *bytes, size_t count) {
    enum how how = NONE;
    if (fd > 2 && has_rule("write") && is_in_folder(fd)) {
        int error = fails("write", &how);
        if (error) {
            ssize_t done = how == NONE ? 0 : REAL(write)(fd, bytes, how == WHOLE ? count : count / 2);
            if (how == SHORT && done > 0) {
                return done;
            }
            errno = error;
            return -1;
        }
    } else if (fd > 2 && has_rule("send") && is_socket(fd)) {
        FAIL_IF("send");
    }
    return REAL(write)(fd, bytes, count);
}

ssize_t pread64(int fd, void *bytes, size_t count, off64_t at) {
    if (has_rule("read") && is_in_folder(fd)) {
        FAIL_IF("read");
    }
    return REAL(pread64)(fd, bytes, count, at);
}

ssize_t read(int fd, void *bytes, size_t count) {
    if (fd > 2 && has_rule("read") && is_in_folder(fd)) {
        FAIL_IF("read");
    } else if (fd > 2 && has_rule("recv") && is_socket(fd)) {
        FAIL_IF("recv");
    }
    return REAL(read)(fd, bytes, count);
}

int open64(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    mode_t mode = (flags & (O_CREAT | __O_TMPFILE)) ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    if (has_rule("open") && is_below(path)) {
        FAIL_IF("open");
    }
    return REAL(open64)(path, flags, mode);
}

int rename(const char *from, const char *to) {
    if (has_rule("rename") && is_below(from)) {
        enum how how = NONE;
        int error = fails("rename", &how);
        if (error) {
            if (how == WHOLE) {
                REAL(rename)(from, to);
            }
            errno = error;
            return -1;
        }
    }
    return REAL(rename)(from, to);
}

int ftruncate64(int fd, off64_t length) {
    if (has_rule("truncate") && is_in_folder(fd)) {
        FAIL_IF("truncate");
    }
    return REAL(ftruncate64)(fd, length);
}

static long shift_ms(void) {
    long ms = since_start_ms(), shift = 0;
    for (int i = 0; i < step_count; i++) {
        shift = ms >= steps[i][0] ? steps[i][1] : shift;
    }
    return shift;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int status = real_clock ? real_clock(clock, now) : REAL(clock_gettime)(clock, now);
    if (status == 0 && step_count > 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        long shift = shift_ms();
        now->tv_sec += shift / 1000;
    }
    return status;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    (void) zone;
    struct timespec exact;
    clock_gettime(CLOCK_REALTIME, &exact);
    now->tv_sec = exact.tv_sec;
    now->tv_usec = exact.tv_nsec / 1000;
    return 0;
}
