/**
 * Injects faults into a simulated fleet.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Fleet } from "./fleet.js";

/** One fault; hosts are named by their index in the fleet, modulo its size. */
export type FleetFault =
    | { readonly type: "kill" | "restart" | "leave" | "isolate"; readonly host: number; }
    | { readonly type: "pause"; readonly host: number; readonly milliseconds: number; }
    | { readonly type: "cut-one-way"; readonly host: number; readonly to: number; }
    | { readonly type: "split"; readonly size: number; }
    | { readonly type: "lose"; readonly share: number; }
    | { readonly type: "outage" | "outage-over" | "heal" | "apply"; };

const LEAVING_MILLISECONDS = 6000;

/**
 * Injects one fault now.
 *
 * @param fleet The fleet.
 * @param fault The fault.
 */
export function injectFault(fleet: Fleet, fault: FleetFault): void {
    const names = [...fleet.hosts.keys()];
    const nameOf = (index: number): string => names[index % names.length] ?? "";
    match(fault)
        .with({ type: "kill" }, ({ host }) => fleet.kill(nameOf(host)))
        .with({ type: "restart" }, ({ host }) => fleet.start(nameOf(host)))
        .with({ type: "leave" }, ({ host }) => fleet.leave(nameOf(host), LEAVING_MILLISECONDS))
        .with({ type: "isolate" }, ({ host }) => {
            fleet.network.partition([[nameOf(host)], names.filter(name => name !== nameOf(host))]);
            fleet.network.cutFromPlatform(nameOf(host));
        })
        .with({ type: "pause" }, ({ host, milliseconds }) => fleet.pause(nameOf(host), milliseconds))
        .with({ type: "cut-one-way" }, ({ host, to }) => fleet.network.cut(nameOf(host), nameOf(to)))
        .with({ type: "split" }, ({ size }) => fleet.network.partition([names.slice(0, size), names.slice(size)]))
        .with({ type: "lose" }, ({ share }) => fleet.network.lossShare = share)
        .with({ type: "outage" }, () => fleet.storeOutage = true)
        .with({ type: "outage-over" }, () => fleet.storeOutage = false)
        .with({ type: "heal" }, () => fleet.network.heal())
        .with({ type: "apply" }, () => fleet.storeOutage ? undefined : fleet.apply(`text ${fleet.nowMilliseconds}`))
        .exhaustive();
}
