/**
Ports that the soak's processes are told to listen on.
*/
import {readFileSync} from 'node:fs';
import {expect, it} from 'vitest';
import {findFreePorts} from '../src/measure/soak-processes.ts';

/** Guards against a process that does not start since an outgoing connection took its port after it was chosen. */
it('are none that the system gives to outgoing connections', async () => {
	const [firstOutgoing] = readFileSync('/proc/sys/net/ipv4/ip_local_port_range', 'utf8').split('\t').map(Number);
	const ports = await findFreePorts(40);
	expect(new Set(ports).size).toBe(40);
	expect(Math.max(...ports)).toBeLessThan(firstOutgoing!);
});
