package thistleturn.eureka;

/**
 * The fields of a registry's instance that a courier uses; all others are skipped. If a field is
 * absent from the response, a text is empty and a number is -1, unless noted otherwise.
 *
 * @param app the application
 * @param id its id, or its host name if it has no id
 * @param key application and id together, which are unique in the registry
 * @param status as the instance reported it
 * @param overridden the status with which an operator overrides it
 * @param address its IP address
 * @param port its plain HTTP port
 * @param portEnabled whether that port is in use
 * @param versionMs its {@code lastDirtyTimestamp}; 0 if it has none
 * @param action in a delta, {@code ADDED}, {@code MODIFIED} or {@code DELETED}
 * @param destination metadata: the number of the destination
 * @param kind metadata: the kind of endpoint
 * @param zone metadata: the zone
 * @param rate metadata: calls per second
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
