package thistleturn.eureka;

/**
 * What is read of an instance in a registry's answer; everything else in it is passed over. Texts
 * are empty, and numbers -1, where the answer has none. {@code key} is unlike that of any other
 * instance in the registry. {@code versionMs} is the later of its {@code lastDirtyTimestamp} and 0;
 * {@code action} is {@code ADDED}, {@code MODIFIED} or {@code DELETED} in a delta.
 */
public record EurekaInstance(
    String app,
    String id,
    String key,
    String status,
    String overridden,
    String address,
    int port,
    boolean portEnabled,
    long versionMs,
    String action,
    String destination,
    String kind,
    String zone,
    String rate) {}
