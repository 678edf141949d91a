/**
 * What is learned from the rejections and service times of calls: whether rejections answer to load
 * or strike at random, how many retries that justifies, how long calls of a class take at an
 * endpoint, and how long a new concurrency window may grow quickly.
 *
 * <p>The classes are plain state machines that belong to the routes and endpoints of the overload
 * controller and run on its thread. They get times as arguments, and do nothing themselves. Design:
 * {@code docs/design/noise.md}.
 */
package thistleturn.decisions.rejections;
