package thistleturn.decisions;

import java.util.List;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.Tenant;

/** Meters the messages of tenants against this courier's even share of their quotas. */
final class TenantQuotas {
  /** Messages by which a tenant may exceed its quota in a burst, since bursts occur by chance. */
  private static final double BURST_MESSAGES = 10;

  private final List<Tenant> tenants;
  private final int courierCount;

  /** By tenant: the time from which the next message is within the quota. */
  private final long[] nextWithinQuotaUs;

  TenantQuotas(final DeliverySettings settings) {
    this.tenants = settings.tenants();
    this.courierCount = settings.courierCount();
    this.nextWithinQuotaUs = new long[tenants.size()];
  }

  /**
   * Counts a message and returns whether it exceeds the quota of its tenant.
   *
   * @param tenant the tenant's index; below 0 if the message has none
   */
  boolean recordAndCheckExceeded(final int tenant, final long nowUs) {
    if (tenant < 0) {
      return false;
    }
    final double quotaPerSecond = tenants.get(tenant).quotaPerSecond() / courierCount;
    if (quotaPerSecond <= 0) {
      return false;
    }
    final double burstUs = BURST_MESSAGES * OverloadController.SECOND_US / quotaPerSecond;
    if (nextWithinQuotaUs[tenant] > nowUs + burstUs) {
      return true;
    }
    final long intervalUs = (long) (OverloadController.SECOND_US / quotaPerSecond);
    nextWithinQuotaUs[tenant] = Math.max(nextWithinQuotaUs[tenant], nowUs) + intervalUs;
    return false;
  }
}
