/**
 * The part of the batch store's state that holds the orders for engines: which
 * host claimed the duty last, and how many engines of each kind were ordered in each data
 * centre. An order is recorded before it is sent, so that the next leader repeats the order
 * unchanged.
 */
export interface SupplyOrder {
  service: string
  dataCentre: string
  isReclaimable: boolean
  desiredCount: number
}

export interface SupplySnapshot {
  holder: string | undefined
  orders: SupplyOrder[]
}

export class SupplyLedger {
  /** The host that claimed the duty last; undefined before the first claim. */
  holder: string | undefined
  private readonly _orders = new Map<string, SupplyOrder>()

  /** The number ordered last for a kind of engine; undefined before the first order. */
  orderOf ({ service, dataCentre, isReclaimable }: Omit<SupplyOrder, 'desiredCount'>): number | undefined {
    return this._orders.get(orderKeyOf({ service, dataCentre, isReclaimable }))?.desiredCount
  }

  claim (holder: string): void {
    this.holder = holder
  }

  order ({ service, dataCentre, isReclaimable, desiredCount }: SupplyOrder): void {
    const order = { service, dataCentre, isReclaimable, desiredCount }
    this._orders.set(orderKeyOf(order), order)
  }

  snapshot (): SupplySnapshot {
    return { holder: this.holder, orders: [...this._orders.values()] }
  }

  restore ({ holder, orders }: SupplySnapshot): void {
    this.holder = holder ?? undefined
    this._orders.clear()
    for (const order of orders) this.order(order)
  }
}

function orderKeyOf ({ service, dataCentre, isReclaimable }: Omit<SupplyOrder, 'desiredCount'>): string {
  return `${service} ${dataCentre} ${isReclaimable ? 'reclaimable' : 'kept'}`
}
