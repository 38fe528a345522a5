/**
Ports on which the processes of a soak run listen.
*/
import {readFileSync} from 'node:fs';
import {expect, it} from 'vitest';
import {findFreePorts} from '../src/measure/soak-processes.ts';

/** Guards against a process that fails to start because an outgoing connection took its port after the port was chosen. */
it('are outside the range that the system assigns to outgoing connections', async () => {
	const [firstOutgoing] = readFileSync('/proc/sys/net/ipv4/ip_local_port_range', 'utf8').split('\t').map(Number);
	const ports = await findFreePorts(40);
	expect(new Set(ports).size).toBe(40);
	expect(Math.max(...ports)).toBeLessThan(firstOutgoing!);
});
