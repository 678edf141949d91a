package thistleturn.decisions;

import java.util.List;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.Tenant;

/** Meters the messages of tenants at this courier's even part of their quotas. */
final class TenantQuotas {
  /** Messages in a burst that chance may bring. */
  private static final double BURST_MESSAGES = 10;

  private final List<Tenant> tenants;
  private final int courierCount;

  /** By tenant: when the next message is within the quota. */
  private final long[] nextWithinQuotaUs;

  TenantQuotas(final DeliverySettings settings) {
    this.tenants = settings.tenants();
    this.courierCount = settings.courierCount();
    this.nextWithinQuotaUs = new long[tenants.size()];
  }

  /**
   * Counts a message and returns whether it exceeds the quota of its tenant.
   *
   * @param tenant the tenant's index; below 0: none
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
